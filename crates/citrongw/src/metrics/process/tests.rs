//! Tests of the `/proc` parsers.

use super::*;

#[test]
fn usage_is_parsed() {
    let stat = "7 (a b) c) S 1 7 7 0 -1 4194560 9 0 0 0 120 30 0 0 20 0 8 0 1 1 1";
    assert_eq!(parse_cpu_time(stat), Some(Duration::from_millis(1500)));
    assert_eq!(parse_resident_bytes("VmPeak:\t 9 kB\nVmRSS:\t   12 kB\n"), Some(12 * 1024));
    assert_eq!(parse_cpu_time(""), None);
}
