//! Concurrent edits, an edit whose reply is lost, and a change that the key-value
//! service lost.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use citrongw_protocol::{
    record::CONFIG_KEY,
    store::{Change, Expected, Store, Write},
};
use common::{check, ctl, spawn_demo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

#[tokio::test(flavor = "multi_thread")]
async fn second_edit_from_the_same_version_reports_both_changes() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    // The first version was written directly to the store, so its revision is not
    // kept in the history.
    let unrecorded = demo.node.shared().config.load_full().unwrap().revision.to_string();
    check(&ctl(node, &["profile", "edit", "interactive", "hedge=true"]).await, 0, "in force");
    let stale_edit = ["profile", "edit", "interactive", "retries=5", "--base", &unrecorded];
    check(&ctl(node, &stale_edit).await, 3, "retries: 2 -> 5");

    let base = demo.node.shared().config.load_full().unwrap().revision.to_string();
    let first = ["profile", "edit", "interactive", "retries=1", "--base", &base];
    check(&ctl(node, &first).await, 0, "in force");
    let second = ["profile", "edit", "interactive", "deadline_ms=20000", "--base", &base];
    let output = ctl(node, &second).await;
    check(&output, 3, "nothing was changed");
    check(&output, 3, "deadline_ms: 30000 -> 20000");
    check(&output, 3, "retries: 2 -> 1");
    let loaded = demo.node.shared().config.load_full().unwrap();
    assert_eq!(loaded.config.profiles[0].retries, 1);
    assert_eq!(loaded.config.profiles[0].deadline_ms, 30_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_edits_is_committed() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    let base = demo.node.shared().config.load_full().unwrap().revision.to_string();
    let edits = (1..=4).map(|retries| {
        let (base, pair) = (base.clone(), format!("retries=1{retries}"));
        async move {
            let args = ["profile", "edit", "interactive", &pair, "--base", &base];
            ctl(node, &args).await
        }
    });
    let output = futures::future::join_all(edits).await;
    let codes = |code: i32| output.iter().filter(|it| it.code == code).count();
    assert_eq!((codes(0), codes(3)), (1, 3), "{output:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_with_a_lost_reply_is_looked_up() {
    let demo = spawn_demo().await;
    let lost_replies = Arc::new(AtomicU32::new(0));
    let proxy = spawn_proxy(demo.node.admin_addr(), Arc::clone(&lost_replies)).await;
    let output = ctl(proxy, &["profile", "edit", "interactive", "retries=3"]).await;
    check(&output, 0, "in force");
    assert_eq!(lost_replies.load(Ordering::Relaxed), 1);
    let history = ctl(proxy, &["config", "history", "--json"]).await;
    let records: serde_json::Value = serde_json::from_str(&history.stdout).unwrap();
    let committed = records.as_array().unwrap().iter().filter(|it| !it["change"].is_null()).count();
    assert_eq!(committed, 1, "{records}");
}

/// Forwards connections to `node`, but drops the response to the first edit.
async fn spawn_proxy(node: SocketAddr, lost_replies: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(forward(caller, node, Arc::clone(&lost_replies)));
        }
    });
    addr
}

async fn forward(mut caller: TcpStream, node: SocketAddr, lost_replies: Arc<AtomicU32>) {
    let mut server = TcpStream::connect(node).await.unwrap();
    let (mut from_caller, mut from_server) = (vec![0; 65_536], vec![0; 65_536]);
    let mut edit_sent = false;
    loop {
        tokio::select! {
            res = caller.read(&mut from_caller) => {
                let Ok(length @ 1..) = res else { return };
                edit_sent |= from_caller[..length].starts_with(b"POST /admin/edits");
                server.write_all(&from_caller[..length]).await.unwrap();
            }
            res = server.read(&mut from_server) => {
                let Ok(length @ 1..) = res else { return };
                if edit_sent && lost_replies.fetch_add(1, Ordering::Relaxed) == 0 {
                    return;
                }
                if caller.write_all(&from_server[..length]).await.is_err() {
                    return;
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_replaces_a_change_that_the_service_lost() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    let store = &demo.fakes.store;
    check(&ctl(node, &["profile", "edit", "interactive", "hedge=true"]).await, 0, "in force");
    let old = store.get(CONFIG_KEY.into()).await.unwrap().into_entry().unwrap();
    check(&ctl(node, &["profile", "edit", "interactive", "retries=1"]).await, 0, "in force");
    let loaded = demo.node.shared().config.load_full().unwrap();

    // The key-value service is restored to an earlier state.
    let now = store.get(CONFIG_KEY.into()).await.unwrap().into_entry().unwrap();
    let write = Write {
        key: now.key,
        expected: Expected::Revision(now.revision),
        change: Change::Put(old.value),
        lease: None,
    };
    store.compare_and_swap(write).await.unwrap();
    while !ctl(node, &["status"]).await.stdout.contains("lacks a change") {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(demo.node.shared().config.load_full().unwrap().revision, loaded.revision);

    let mut config = loaded.config.clone();
    config.profiles[0].retries = 4;
    let name = format!("citrongwctl-lost-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, serde_json::to_string(&config).unwrap()).unwrap();
    let lost_revision = loaded.revision.to_string();
    let put = ["config", "put", path.to_str().unwrap(), "--replaces-lost", &lost_revision];
    let output = ctl(node, &put).await;
    std::fs::remove_file(&path).unwrap();
    check(&output, 0, "in force");
    assert_eq!(demo.node.shared().config.load_full().unwrap().config.profiles[0].retries, 4);
}
