use super::*;

const TOLERANCE: Duration = Duration::from_millis(75);
const NO_ERA: StoreEra = StoreEra(0);

fn set(era: u64, number: u64, zones: &[&str]) -> EvacuatedZones {
    let revision = Revision::of_era(StoreEra(era), number);
    EvacuatedZones { revision, zones: zones.iter().map(|it| AvailabilityZone::from(*it)).collect() }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn changed(begun: &[&str], ended: &[&str]) -> Applied {
    let zones = |names: &[&str]| names.iter().map(|it| AvailabilityZone::from(*it)).collect();
    Applied::Changed { begun: zones(begun), ended: zones(ended) }
}

/// Guards against a read or message that arrives late and ends an evacuation, or brings an
/// ended one back.
#[test]
fn newest_revision_wins_in_any_order_of_arrival() {
    let sets = [
        set(0, 5, &[]),
        set(0, 6, &["a"]),
        set(0, 7, &[]),
        set(0, 8, &["a", "b"]),
        set(1, 2, &["b"]),
    ];
    for order in 0..120 {
        let mut left: Vec<_> = sets.iter().collect();
        let (mut evacuations, mut order) = (Evacuations::default(), order);
        while !left.is_empty() {
            let read = left.remove(order % left.len());
            order /= left.len() + 1;
            evacuations.apply(read.clone(), at(1), at(1));
        }
        assert_eq!(evacuations.newest(), Some(&sets[4]));
    }
}

#[test]
fn changes_name_the_zones_that_began_and_ended() {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.apply(set(0, 5, &[]), at(1), at(1)), Applied::Unchanged);
    assert_eq!(evacuations.apply(set(0, 6, &["a", "b"]), at(2), at(2)), changed(&["a", "b"], &[]));
    assert_eq!(evacuations.apply(set(0, 6, &["a", "b"]), at(3), at(3)), Applied::Unchanged);
    assert_eq!(evacuations.apply(set(0, 5, &[]), at(4), at(4)), Applied::Outdated);
    assert_eq!(evacuations.apply(set(0, 9, &["b", "c"]), at(5), at(5)), changed(&["c"], &["a"]));
    // A backup that lacks the key, of a revision that was given out before.
    assert_eq!(evacuations.apply(set(1, 4, &[]), at(6), at(6)), changed(&[], &["b", "c"]));
}

/// Guards against a gateway that serves before it has read the evacuations.
#[test]
fn nothing_is_known_before_the_first_read() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.is_known());
    evacuations.apply(set(0, 5, &["a"]), at(100_000), at(100_000));
    assert!(evacuations.is_known());
}

/// Guards against a gateway that starts in an evacuation, and serves by what another one
/// read before it.
#[test]
fn read_from_before_the_start_is_not_enough() {
    let mut evacuations = Evacuations::default();
    let age = Duration::from_millis(700);
    evacuations.apply(set(0, 5, &["a"]), at(300) - age, at(300));
    assert!(evacuations.newest().unwrap().contains(&"a".into()));
    assert!(!evacuations.is_known());
    evacuations.apply(set(0, 5, &["a"]), at(900) - age, at(900));
    assert!(evacuations.is_known());
}

/// Guards against a restore of the service that ends an evacuation, or all service, until
/// the evacuations of the new era are known.
#[test]
fn last_known_set_holds_until_one_of_the_new_era_is_known() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(set(0, 5, &["a"]), at(10), at(10));
    assert!(evacuations.awaited_since(StoreEra(1), at(1_000)).is_some());
    assert!(evacuations.is_known());
    assert_eq!(evacuations.newest(), Some(&set(0, 5, &["a"])));
    evacuations.apply(set(1, 2, &[]), at(1_100), at(1_100));
    assert_eq!(evacuations.newest(), Some(&set(1, 2, &[])));
}

/// Times of the reads within `end` ms, checked every 150 ms. `responds` is whether the
/// service responds to a read, and `heard` whether a message arrives then.
fn reads(
    role: ReadRole,
    end: u64,
    responds: impl Fn(u64) -> bool,
    heard: impl Fn(u64) -> bool,
) -> Vec<u64> {
    let (mut evacuations, mut schedule) = (Evacuations::default(), ReadSchedule::default());
    let mut times = Vec::new();
    for ms in (0..end).step_by(150) {
        if heard(ms) {
            evacuations.apply(set(0, ms, &[]), at(ms), at(ms));
        }
        if schedule.is_due(&mut evacuations, role, NO_ERA, at(ms), TOLERANCE) {
            schedule.begin(at(ms));
            schedule.end(responds(ms));
            if responds(ms) {
                evacuations.apply(set(0, ms, &[]), at(ms), at(ms));
            }
            times.push(ms);
        }
    }
    times
}

#[test]
fn reads_follow_the_intervals_of_the_instance_list() {
    let always = |_| true;
    let never = |_| false;
    assert_eq!(reads(ReadRole::Reader, 9_000, always, never).len(), 20);
    assert_eq!(reads(ReadRole::Follower, 9_000, always, always), [0], "while it hears others");
    assert_eq!(reads(ReadRole::Substitute, 9_000, always, always), [0], "while it hears others");
    let alone = reads(ReadRole::Follower, 9_000, always, never);
    assert!(alone.windows(2).all(|it| (900..=1_050).contains(&(it[1] - it[0]))), "{alone:?}");
    let refused = reads(ReadRole::Reader, 9_000, never, never);
    assert_eq!(refused.len(), 20, "it reads for others");
    let outage = reads(ReadRole::Follower, 20_000, |ms| ms < 1_000, never);
    assert!(outage.len() <= 8, "{outage:?}");
}

/// Guards against a gateway in contact with the service for 4 s that does not know what it
/// says.
#[test]
fn gateway_alone_reads_within_four_seconds_after_an_outage() {
    for end in (5_000..12_000).step_by(150) {
        let read = reads(ReadRole::Follower, 20_000, |ms| !(1_000..end).contains(&ms), |_| false);
        let first = read.into_iter().find(|it| end <= *it).unwrap();
        assert!(first - end < 4_000, "{end} {first}");
    }
}

/// Guards against a refused gateway that waits for the next change to be pushed.
#[test]
fn others_are_asked_while_reads_fail_and_no_message_arrives() {
    let (mut evacuations, mut schedule) = (Evacuations::default(), ReadSchedule::default());
    evacuations.apply(set(0, 5, &[]), at(0), at(0));
    schedule.begin(at(0));
    assert!(!schedule.end(true));
    assert!(!schedule.must_ask(&evacuations, at(5_000)), "it reads itself");
    assert!(schedule.end(false));
    assert!(!schedule.must_ask(&evacuations, at(900)), "a message arrived a moment ago");
    assert!(schedule.must_ask(&evacuations, at(1_000)));
    assert!(!schedule.must_ask(&evacuations, at(1_300)));
    assert!(schedule.must_ask(&evacuations, at(1_450)));
    evacuations.apply(set(0, 9, &["a"]), at(1_460), at(1_460));
    assert!(!schedule.must_ask(&evacuations, at(2_000)));
}

/// Guards against all gateways that read a new era at the same time.
#[test]
fn set_of_a_new_era_is_read_by_others_first() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(set(0, 5, &[]), at(0), at(0));
    let mut schedule = ReadSchedule::default();
    schedule.begin(at(0));
    schedule.end(true);
    let era = StoreEra(1);
    let mut is_due =
        |role, ms| schedule.is_due(&mut evacuations, role, era, at(ms), Duration::ZERO);
    assert!(!is_due(ReadRole::Follower, 300));
    assert!(!is_due(ReadRole::Follower, 500));
    assert!(is_due(ReadRole::Reader, 300), "at once");
    assert!(is_due(ReadRole::Substitute, 300), "at once");
    assert!(is_due(ReadRole::Follower, 600));
}

/// Guards against gateways that are all refused and pass an old set around as a new one.
#[test]
fn set_is_passed_on_with_its_age_and_not_for_long() {
    let mut first = Evacuations::default();
    let mut second = Evacuations::default();
    first.apply(set(0, 5, &["a"]), at(1_000), at(1_000));
    let mut replies = 0;
    for ms in (1_100..10_000).step_by(100) {
        let (from, to) = match ms % 200 {
            0 => (&first, &mut second),
            _ => (&second, &mut first),
        };
        let Some((known, age)) = from.fresh(at(ms)) else { continue };
        replies += 1;
        assert_eq!(at(ms) - age, at(1_000));
        to.apply(known.clone(), at(ms) - age, at(ms));
    }
    assert!((1..=20).contains(&replies), "{replies}");
}

/// Guards against all gateways that read while the reader gets slow responses.
#[test]
fn old_reads_of_a_slow_service_end_the_silence() {
    let (mut evacuations, mut schedule) = (Evacuations::default(), ReadSchedule::default());
    schedule.begin(at(0));
    schedule.end(true);
    for ms in (0..20_000).step_by(900) {
        evacuations.apply(set(0, ms, &[]), at(ms) - Duration::from_millis(1_500), at(ms));
        let now = at(ms + 890);
        assert!(!schedule.is_due(&mut evacuations, ReadRole::Follower, NO_ERA, now, TOLERANCE));
    }
}
