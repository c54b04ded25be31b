use super::*;
use crate::{
    peer_loads::{PeerLoads, ReportSource},
    peers::message::PeerMessage,
};
use citrongw_state::id::NodeId;

const SPEED: QueueSpeed = QueueSpeed { prefill_rate: 50_000.0, pass_s: 0.04 };
const COVERS_MS: u32 = 150;

fn key(replica: u64) -> ReplicaKey {
    ReplicaKey { replica: ReplicaId(replica), epoch: Epoch(1) }
}

fn counts(replicas: u64, begun: u32) -> LoadReport {
    let of = |it| ReplicaRequests { replica: ReplicaId(it), epoch: Epoch(1), requests: 2, begun };
    LoadReport {
        part: 0,
        parts: 1,
        covers_ms: COVERS_MS,
        replicas: (0..replicas).map(of).collect(),
    }
}

fn bytes(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}

#[test]
fn report_of_work_takes_no_more_bytes_than_one_of_counts() {
    for covers_ms in [100, 205, 1_000, 1_100] {
        for tokens in [0.0, 40.0, 1_640.0, 50_000.0, 1e7, 1e12] {
            for replicas in [1, 60] {
                let counts = LoadReport { covers_ms, ..counts(replicas, 1) };
                let work = WorkReport::new(&counts, Duration::from_millis(30), |_| tokens);
                assert!(bytes(&work) <= bytes(&counts), "{covers_ms} {tokens} {replicas}");
            }
        }
    }
}

#[test]
fn tokens_are_exact_to_a_fortieth() {
    assert_eq!(ScaledTokens::new(0.0).tokens(), 0.0);
    for tokens in [16.0, 40.0, 714.0, 1_640.0, 5_900.0, 50_000.0, 900_000.0] {
        let read = ScaledTokens::new(tokens).tokens();
        assert!((read / tokens - 1.0).abs() <= 1.0 / 40.0, "{tokens} {read}");
    }
    for tokens in [f64::NAN, f64::INFINITY, -1.0, 0.001] {
        assert!(ScaledTokens::new(tokens).tokens().is_finite(), "{tokens}");
    }
}

// Guards against a report from a broken peer that ends the process.
#[test]
fn absurd_report_is_read() {
    let work = ReplicaWork {
        replica: ReplicaId(1),
        epoch: Epoch(1),
        requests: 1,
        begun: ScaledTokens(u8::MAX),
    };
    let report = WorkReport { part: PartOf(u16::MAX), times: u16::MAX, replicas: vec![work] };
    let mut queues = ReplicaQueues::default();
    queues.at(&key(1), SPEED, 1_500.0, Time::START);
    for in_zone in [true, false] {
        queues.record_work(in_zone, &report, Time::from_millis(10));
    }
    let _ = queues.counts(&report);
    let later = queues.at(&key(1), SPEED, 1_500.0, Time::from_millis(60_000));
    assert!(later.tokens < 1.0, "{later:?}");
}

#[test]
fn own_and_reported_prompts_wait_at_a_replica() {
    let mut queues = ReplicaQueues::default();
    let tokens = |queues: &mut ReplicaQueues, ms| {
        queues.at(&key(1), SPEED, 1_500.0, Time::from_millis(ms)).tokens
    };
    queues.record_begun(&key(1), 9_000, Time::from_millis(1));
    assert_eq!(tokens(&mut queues, 1), 0.0, "a replica that nothing is chosen for by cost");
    queues.record_begun(&key(1), 3_000, Time::from_millis(1));
    let report = WorkReport::new(&counts(2, 1), Duration::ZERO, |_| 3_200.0);
    queues.record_work(true, &report, Time::from_millis(1));
    assert!((tokens(&mut queues, 1) - 6_200.0).abs() < 80.0);
    assert!((4_000.0..5_500.0).contains(&tokens(&mut queues, 41)));
    queues.record_work(false, &report, Time::from_millis(41));
    assert!((4_000.0..5_500.0).contains(&tokens(&mut queues, 41)), "sums of another zone");
}

// Guards against losing the load of a zone in which some gateways run an older build.
#[test]
fn counts_are_read_as_mean_prompts() {
    let mut queues = ReplicaQueues::default();
    queues.at(&key(1), SPEED, 1_500.0, Time::START);
    queues.record_counts(Some(Duration::ZERO), &counts(2, 2), Time::START);
    assert_eq!(queues.at(&key(1), SPEED, 1_500.0, Time::START).tokens, 3_000.0);
    let report = WorkReport::new(&counts(2, 2), Duration::ZERO, |_| 3_000.0);
    let counts = queues.counts(&report);
    assert_eq!((counts.replicas[1].begun, counts.replicas[1].requests), (3, 2));
}

#[test]
fn queues_of_replicas_without_requests_are_forgotten() {
    let mut queues = ReplicaQueues::default();
    for idx in 0..100 {
        queues.at(&key(idx), SPEED, 1_500.0, Time::START);
    }
    queues.remove_idle(Time::from_millis(60_000));
    assert!(queues.queues.is_empty());
}

#[test]
fn report_of_work_replaces_one_of_counts() {
    let peer_loads = PeerLoads::default();
    let source = || ReportSource::Gateway(NodeId(1));
    peer_loads.record(source(), counts(2, 1), Time::START);
    let report = WorkReport::new(&counts(2, 1), Duration::ZERO, |_| 1_024.0);
    peer_loads.record_work(source(), &report, Time::START);
    let sums = peer_loads.zone_requests(Time::START);
    assert_eq!(sums.get(&key(1)), Some(&2));
}

// Guards against messages that gateways of earlier builds misread.
#[test]
fn reports_of_counts_keep_their_encoding() {
    let load = PeerMessage::Load(counts(1, 1));
    assert_eq!(postcard::to_stdvec(&load).unwrap(), [4, 0, 1, 150, 1, 1, 0, 1, 2, 1]);
    let zone = PeerMessage::ZoneLoad { zone: "b".into(), report: counts(0, 0) };
    assert_eq!(postcard::to_stdvec(&zone).unwrap(), [8, 1, b'b', 0, 1, 150, 1, 0]);
}

#[test]
fn part_and_number_of_parts_are_read_as_written() {
    for parts in 1..=u8::MAX {
        for part in 0..parts {
            assert_eq!(PartOf::new(part, parts).parts(), (part, parts));
        }
    }
    let (part, parts) = PartOf(u16::MAX).parts();
    assert!(part < parts);
}

#[test]
fn times_are_read_to_a_hundredth_of_a_second() {
    let times = |covers_ms, age_ms| {
        let counts = LoadReport { covers_ms, ..counts(1, 1) };
        let report = WorkReport::new(&counts, Duration::from_millis(age_ms), |_| 0.0);
        (report.covers_ms(), report.begun_age().as_millis())
    };
    assert_eq!(times(150, 0), (150, 0));
    assert_eq!(times(1_101, 42), (1_110, 50));
    assert_eq!(times(u32::MAX, u64::MAX), (1_270, 1_270));
}
