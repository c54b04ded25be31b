use super::*;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn links_are_cut_from_a_silence_of_all_polled_servers_to_the_next_byte() {
    let links = ServerLinks::default();
    assert!(!links.record_heard(at(100)));
    assert!(links.record_all_silent(at(100)));
    assert!(!links.record_all_silent(at(200)), "the cut has begun before");
    assert!(links.is_cut());
    assert!(links.record_heard(at(300)));
    assert!(!links.is_cut());
    assert!(!links.record_heard(at(301)), "the cut has ended before");
}

#[test]
fn silence_of_polled_servers_does_not_count_if_another_was_heard_meanwhile() {
    let links = ServerLinks::default();
    links.record_heard(at(150));
    assert!(!links.record_all_silent(at(100)));
    assert!(!links.is_cut());
    assert!(links.has_heard_since(at(149)));
    assert!(!links.has_heard_since(at(150)));
}
