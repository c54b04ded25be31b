use quickcheck::{Gen, QuickCheck};

use super::*;

const MAX: usize = 1024;

/// Reads the bytes at once and byte by byte and checks that both results agree.
fn read(sent: &str) -> Result<bool, ResultCode> {
    let mut whole = open();
    let whole_result = whole.read(sent.as_bytes(), MAX);
    let mut bytewise = open();
    let bytewise_result = sent.as_bytes().iter().try_for_each(|it| bytewise.read(&[*it], MAX));
    assert_eq!(whole_result, bytewise_result, "{sent:?}");
    whole_result.map(|()| {
        assert_eq!(whole.is_between_requests(), bytewise.is_between_requests(), "{sent:?}");
        whole.is_between_requests()
    })
}

#[test]
fn requests_end_at_their_declared_length() {
    let post = "POST / HTTP/1.1\r\n";
    for whole in [
        "GET / HTTP/1.1\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\n\r\n".to_owned(),
        format!("\r\n\r\n{post}content-length: 3\r\n\r\nabc"),
        format!("{post}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        format!("{post}transfer-encoding: chunked\r\n\r\nA;x=y\r\n0123456789\r\n0\r\nt: 1\r\n\r\n"),
        format!("{post}content-length: 0\r\n\r\n"),
    ] {
        assert_eq!(read(&whole), Ok(true), "{whole:?}");
        let (part, _) = whole.split_at(whole.len() - 1);
        assert_eq!(read(part), Ok(false), "{part:?}");
    }
}

#[test]
fn ambiguous_heads_are_rejected() {
    for headers in [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: 3, 3\r\n",
        "content-length: +3\r\n",
        "content-length:\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: identity\r\n",
        "a: 1\r\n b: folded\r\n",
        "a: 1\r\n\tb: folded\r\n",
        "content-length : 3\r\n",
        "a: 1\nb: 2\r\n",
        "a: 1\rb: 2\r\n",
        "no colon\r\n",
        ": no name\r\n",
    ] {
        let sent = format!("POST / HTTP/1.1\r\n{headers}\r\n");
        assert_eq!(read(&sent), Err(ResultCode::Malformed), "{headers:?}");
    }
    for sent in [
        "GET / HTTP/1.1\n\n",
        "GET / HTTP/1.1\r\na: 1\n\r\n",
        "\nGET / HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n",
    ] {
        assert_eq!(read(sent), Err(ResultCode::Malformed), "{sent:?}");
    }
}

#[test]
fn ambiguous_chunks_are_rejected() {
    for body in
        ["3\nabc", "0x3\r\nabc", "\r\n", "3 \r\nabc", "3\r\nabcd\r\n", "3\r\nabc\n", "-1\r\n"]
    {
        let sent = format!("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{body}");
        assert_eq!(read(&sent), Err(ResultCode::Malformed), "{body:?}");
    }
    let line = "1".repeat(MAX_CHUNK_LINE_BYTES + 1);
    let sent = format!("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{line}");
    assert_eq!(read(&sent), Err(ResultCode::Malformed));
}

#[test]
fn head_above_the_limit_is_rejected_before_its_end() {
    let fits = format!("GET / HTTP/1.1\r\na: {}\r\n\r\n", "a".repeat(MAX - 23));
    assert_eq!((fits.len(), read(&fits)), (MAX, Ok(true)));
    let above = format!("GET / HTTP/1.1\r\na: {}\r\n\r\n", "a".repeat(MAX - 22));
    assert_eq!(read(&above), Err(ResultCode::TooLarge));
    let unended = format!("GET / HTTP/1.1\r\na: {}", "a".repeat(MAX));
    assert_eq!(read(&unended), Err(ResultCode::TooLarge));
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
fn split_input_has_the_same_result(split_points: Vec<usize>, bytes: Vec<u8>) -> bool {
    let mut sent = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    sent.extend_from_slice(&bytes);
    let mut whole = open();
    let whole_result = whole.read(&sent, MAX);
    let mut split = open();
    let mut remaining = sent.as_slice();
    let mut split_result = Ok(());
    for at in split_points.iter().map(|it| it % sent.len()).chain([usize::MAX]) {
        let (part, rest) = remaining.split_at(at.min(remaining.len()));
        split_result = split_result.and_then(|()| split.read(part, MAX));
        remaining = rest;
    }
    whole_result == split_result
}

#[test]
fn result_does_not_depend_on_the_split_of_the_input() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 1));
    check.quickcheck(split_input_has_the_same_result as fn(Vec<usize>, Vec<u8>) -> bool);
}
