//! Tests of the store client.

use super::*;

#[test]
fn prefix_end_is_the_first_key_after_the_prefix() {
    assert_eq!(prefix_end(b"a/"), b"a0");
    assert_eq!(prefix_end(&[1, 255]), vec![2]);
    assert_eq!(prefix_end(&[255]), vec![0]);
}
