use citrongw_transport::peer_auth::{derive_keys, random_key};

use super::*;

const TOKEN: HopToken = HopToken { from: NodeId(0xa1), to: NodeId(7), attempts: 1 };

#[test]
fn token_is_valid_for_its_request_and_key_only() {
    let keys = derive_keys(&["secret".to_owned()]).unwrap();
    let token = TOKEN.sign(&keys, "/a?b=1");
    assert_eq!(HopToken::verify(&token, &keys, "/a?b=1"), Some(TOKEN));
    assert_eq!(HopToken::verify(&token, &keys, "/a?b=2"), None);
    assert_eq!(HopToken::verify(&token, &random_key(), "/a?b=1"), None);
    let forged = token.replacen("-1-", "-0-", 1);
    for text in ["", "-", "a1-7-1", "a1-7-1-", "a1-7-1-0", "x-y-z-0", forged.as_str()] {
        assert_eq!(HopToken::verify(text, &keys, "/a?b=1"), None, "{text:?}");
    }
}
