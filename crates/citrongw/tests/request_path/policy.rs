//! Tests of overload by one organisation, limits, hedged attempts, leaving instances,
//! and requests that crash engines.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use citrongw_protocol::{
    decision::Decision,
    gossip_item::{GossipItem, LeavingInstance},
};
use citrongw_state::config::{Config, KeyDigest};
use citrongw_transport::http_server::HttpServer;

use crate::rig::{self, PROMPT, Rig, expected, options, wait_for};

const LARGE_KEY: &str = "large-key";
const POISON: &str = "poison";

/// Adds an organisation with its own API key.
fn add_large(config: &mut Config) {
    let mut organisation = config.organisations[0].clone();
    organisation.id = "large".into();
    let mut service = config.services[0].clone();
    service.id = "large".into();
    service.organisation = "large".into();
    service.key_digests = vec![KeyDigest::of(LARGE_KEY)];
    config.organisations.push(organisation);
    config.services.push(service);
}

#[tokio::test]
async fn large_organisation_does_not_starve_a_small_one() {
    const LARGE: usize = 300;
    const SMALL: usize = 10;
    let mut options = options();
    options.engine.slots = 0;
    let rig = rig::open_config(options, |config| {
        add_large(config);
        config.profiles[0].deadline_ms = 60_000;
        config.profiles[0].first_token_ms = 60_000;
    })
    .await;
    let ended = Arc::new(Mutex::new(Vec::new()));
    let post = |key: &'static str, idx: usize| {
        let (addr, ended) = (rig.addr(), Arc::clone(&ended));
        tokio::spawn(async move {
            let body = rig::body(&format!("{key} {idx}"), false);
            let response = rig::post_completion_with_key(addr, key, &body).await.read_all().await;
            let is_refused = response.error().is_some_and(|(_, outcome)| outcome == "not_run");
            assert!(response.status == 200 || is_refused && key == LARGE_KEY, "{response:?}");
            ended.lock().unwrap().push(key);
        })
    };
    let mut tasks: Vec<_> = (0..LARGE).map(|idx| post(LARGE_KEY, idx)).collect();
    wait_for("full replicas", || 20 <= rig.generated()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = rig.generated();
    assert!(before < LARGE as u64 / 2, "{before} went to the engines at once");
    tasks.extend((0..SMALL).map(|idx| post(citrongw::demo::DEMO_KEY, idx)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for engine in rig.heads() {
        engine.add_slots(2);
    }
    for task in tasks {
        task.await.unwrap();
    }
    let ended = ended.lock().unwrap();
    let last_small = ended.iter().rposition(|it| *it != LARGE_KEY).unwrap();
    let large_before = ended[..last_small].iter().filter(|it| **it == LARGE_KEY).count();
    assert!(large_before < LARGE / 2, "{large_before} of the large organisation went first");
}

#[tokio::test]
async fn overload_is_refused_early_and_not_run() {
    let mut options = options();
    options.engine.slots = 1;
    options.engine.between_tokens = Duration::from_millis(30);
    let rig = rig::open(options, |profile| {
        profile.retries = 0;
        profile.first_token_ms = 1_500;
    })
    .await;
    let post = |idx: usize| {
        let addr = rig.addr();
        async move {
            rig::post_completion(addr, &rig::body(&format!("{idx}"), false)).await.read_all().await
        }
    };
    let responses = futures::future::join_all((0..400).map(post)).await;
    let refused: Vec<_> = responses.iter().filter(|it| it.status == 503).collect();
    assert!(!refused.is_empty());
    for response in &refused {
        let (code, outcome) = response.error().unwrap();
        assert!([2002, 2003].contains(&code) && outcome == "not_run", "{response:?}");
        assert!(response.head.contains("retry-after: "), "{response:?}");
    }
    assert_eq!(rig.generated(), (responses.len() - refused.len()) as u64);
    assert!(responses.iter().any(|it| it.status == 200));
}

#[tokio::test]
async fn limit_of_an_organisation_is_enforced() {
    let rig = rig::open_config(options(), |config| {
        config.organisations[0].limit_requests_per_s = Some(2.0);
    })
    .await;
    let mut refused = 0;
    for _ in 0..20 {
        let response = rig.get_buffered().await;
        if response.status == 200 {
            continue;
        }
        assert_eq!((response.status, response.error()), (429, Some((2001, "not_run".to_owned()))));
        assert!(response.head.contains("retry-after: "), "{response:?}");
        refused += 1;
    }
    assert!(0 < refused);
    assert_eq!(rig.generated(), 20 - refused);
}

#[tokio::test]
async fn slow_first_attempt_is_hedged_and_cancelled() {
    let rig = rig::open(options(), |profile| profile.hedge = true).await;
    rig.heads()[0].set_unresponsive(true);
    for idx in 0..8 {
        let prompt = format!("hedge {idx}");
        let response =
            rig::post_completion(rig.addr(), &rig::body(&prompt, false)).await.read_all().await;
        assert_eq!((response.status, response.text()), (200, expected(&prompt)), "{response:?}");
    }
    let silent = &rig.heads()[0];
    wait_for("cancellations", || silent.cancelled() == silent.generated()).await;
    let hedges =
        rig.node.shared().decisions.select(|it| matches!(it, Decision::Hedged { .. })).len();
    assert!(0 < hedges);
    assert_eq!(hedges as u64, silent.generated());
}

#[tokio::test]
async fn leaving_instance_gets_no_new_work() {
    let rig = rig::open(options(), |_| {}).await;
    let shared = rig.node.shared();
    let entry = Arc::clone(&shared.replicas.entries()[0]);
    let member = &entry.spec.members[2];
    shared.gossip.publish(GossipItem::Leaving(LeavingInstance {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
    }));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = rig.heads()[0].generated();
    for idx in 0..12 {
        let response = rig::post_completion(rig.addr(), &rig::body(&format!("{idx}"), false)).await;
        assert_eq!(response.read_all().await.status, 200);
    }
    assert_eq!((rig.heads()[0].generated(), rig.heads()[1].generated()), (before, 12));
}

/// Stops the server of each engine that has crashed, as when its process dies.
fn spawn_reaper(rig: &mut Rig) -> tokio::task::JoinHandle<()> {
    let heads = rig.heads();
    let engines = rig.fakes.engines.len();
    let members: Vec<HttpServer> = rig.fakes.servers.drain(..engines).collect();
    let mut servers: Vec<Option<HttpServer>> = members.into_iter().map(Some).collect();
    tokio::spawn(async move {
        loop {
            for (idx, head) in heads.iter().enumerate() {
                if head.has_crashed()
                    && let Some(server) = servers[idx * 4].take()
                {
                    server.abort();
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
}

#[tokio::test]
async fn request_that_crashes_engines_is_contained_and_others_run() {
    let mut options = options();
    options.replicas = 6;
    let mut rig = rig::open(options, |profile| {
        profile.retries = 5;
        profile.first_token_ms = 30_000;
        profile.deadline_ms = 60_000;
    })
    .await;
    for head in rig.heads() {
        head.set_poison(POISON);
    }
    let reaper = spawn_reaper(&mut rig);
    let poison = rig::body(&format!("{POISON} {PROMPT}"), false);
    let response = rig::post_completion(rig.addr(), &poison).await.read_all().await;
    assert_eq!(response.error().unwrap().1, "unknown", "{response:?}");
    for _ in 0..3 {
        let response = rig::post_completion(rig.addr(), &poison).await.read_all().await;
        assert_eq!((response.status, response.error()), (422, Some((2007, "not_run".to_owned()))));
    }
    let crashed = rig.heads().iter().filter(|it| it.has_crashed()).count();
    assert!(crashed <= 2, "{crashed} replicas crashed");
    for idx in 0..20 {
        let prompt = format!("innocent {idx}");
        let response =
            rig::post_completion(rig.addr(), &rig::body(&prompt, false)).await.read_all().await;
        assert_eq!((response.status, response.text()), (200, expected(&prompt)), "{response:?}");
    }
    reaper.abort();
}
