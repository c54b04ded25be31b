//! Tests of the paths of calls.

use super::*;

#[test]
fn only_unambiguous_paths_are_accepted() {
    let cases = [
        ("/services/a/b", Ok(("a", "/b"))),
        ("/services/a/", Ok(("a", "/"))),
        ("/services/a/b/", Ok(("a", "/b/"))),
        ("/services/a/b%20c", Ok(("a", "/b%20c"))),
        ("/services/a", Err(ResultCode::NotFound)),
        ("/other/a/b", Err(ResultCode::NotFound)),
        ("/services/a//b", Err(ResultCode::Malformed)),
        ("/services/a/c/../b", Err(ResultCode::Malformed)),
        ("/services/a/./b", Err(ResultCode::Malformed)),
        ("/services/a/%62", Err(ResultCode::Malformed)),
        ("/services/a/c%2Fb", Err(ResultCode::Malformed)),
        ("/services/a/%2e%2e/b", Err(ResultCode::Malformed)),
        ("/services/a/b%", Err(ResultCode::Malformed)),
        ("/services/a/b;c", Err(ResultCode::Malformed)),
    ];
    for (path, expected) in cases {
        assert_eq!(split_path(path), expected, "{path}");
    }
}
