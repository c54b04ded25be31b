use citrongw_transport::peer_auth::{derive_keys, random_key};

use super::*;

const TOKEN: HopToken =
    HopToken { from: NodeId(0xa1), to: NodeId(7), attempts: 1, config: Some(12) };
const PATH: &str = "/a?b=1";

fn keys() -> PeerKeys {
    derive_keys(&["secret".to_owned()]).unwrap()
}

/// Reads a token as former builds do, without its tag.
fn read_by_former_build(token: &str) -> Option<(u64, u64, u64)> {
    let mut parts = token.rsplit_once('-')?.0.split('-');
    let mut next = || u64::from_str_radix(parts.next()?, 16).ok();
    Some((next()?, next()?, next()?))
}

#[test]
fn token_is_valid_for_its_request_and_key_only() {
    let keys = keys();
    for accepted_by in [AcceptedBy::All, AcceptedBy::CheckingConfig] {
        let token = TOKEN.sign(&keys, PATH, accepted_by);
        assert_eq!(HopToken::verify(&token, &keys, PATH), Some(TOKEN));
        assert_eq!(HopToken::verify(&token, &keys, "/a?b=2"), None);
        assert_eq!(HopToken::verify(&token, &random_key(), PATH), None);
        let forged = token.replacen("-1-", "-0-", 1);
        for text in ["", "-", "a1-7-1", "a1-7-1-", "a1-7-1-0", "x-y-z-0", forged.as_str()] {
            assert_eq!(HopToken::verify(text, &keys, PATH), None, "{text:?}");
        }
    }
}

#[test]
fn former_builds_read_only_tokens_that_they_may_accept() {
    let keys = keys();
    let token = TOKEN.sign(&keys, PATH, AcceptedBy::All);
    assert_eq!(read_by_former_build(&token), Some((0xa1, 7, 1)));
    let token = TOKEN.sign(&keys, PATH, AcceptedBy::CheckingConfig);
    assert_eq!(read_by_former_build(&token), None);
    let former = HopToken { config: None, ..TOKEN };
    let token = former.sign(&keys, PATH, AcceptedBy::All);
    assert_eq!(token.rsplit_once('-').unwrap().0, "a1-7-1");
    assert_eq!(HopToken::verify(&token, &keys, PATH), Some(former));
}
