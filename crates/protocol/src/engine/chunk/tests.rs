//! Tests of the deserialization of chunks.

use super::*;

#[test]
fn chunks_round_trip() {
    let load = LoadReport { running: 3, ..LoadReport::default() };
    let chunks = [
        Chunk::Token { sequence: 7, text: "\"palm\"\n".to_owned() },
        Chunk::End { tokens: 8, reason: "stop".to_owned(), load: Some(load) },
        Chunk::End { tokens: 0, reason: String::new(), load: None },
    ];
    for chunk in chunks {
        let text = serde_json::to_string(&chunk).unwrap();
        assert_eq!(serde_json::from_str::<Chunk>(&text).unwrap(), chunk, "{text}");
    }
}

#[test]
fn a_chunk_with_a_missing_field_is_rejected() {
    let cases = [
        r#"{"kind":"token","text":"a"}"#,
        r#"{"kind":"token","sequence":1}"#,
        r#"{"kind":"end","reason":"stop"}"#,
        r#"{"kind":"end","tokens":1}"#,
        r#"{"sequence":1,"text":"a"}"#,
        r#"{"kind":"other","sequence":1,"text":"a"}"#,
    ];
    for text in cases {
        assert!(serde_json::from_str::<Chunk>(text).is_err(), "{text}");
    }
}
