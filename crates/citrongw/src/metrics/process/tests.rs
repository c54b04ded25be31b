//! Cases of the kernel's accounts.

use super::*;

#[test]
fn accounts_are_read() {
    let stat = "7 (a b) c) S 1 7 7 0 -1 4194560 9 0 0 0 120 30 0 0 20 0 8 0 1 1 1";
    assert_eq!(cpu_of(stat), Some(Duration::from_millis(1500)));
    assert_eq!(resident_of("VmPeak:\t 9 kB\nVmRSS:\t   12 kB\n"), Some(12 * 1024));
    assert_eq!(cpu_of(""), None);
}
