//! Tests of the JSON text of events.

use serde_json::Value;

use super::*;

fn read(event: &[u8]) -> Value {
    let text = std::str::from_utf8(event).unwrap();
    let data = text.strip_prefix("data: ").unwrap().split("\n\n").next().unwrap();
    serde_json::from_str(data).unwrap()
}

#[test]
fn events_are_json_whatever_the_text() {
    for text in ["climb", "", "\"quoted\" \\ \n\n data: [DONE]", "púa \u{1f334} \u{0}"] {
        let chat = writer(Endpoint::Chat, "pl\"ans", RequestId(7));
        let event = read(&chat.token(text));
        assert_eq!(event["choices"][0]["delta"]["content"], text);
        assert_eq!(event["choices"][0]["finish_reason"], Value::Null);
        assert_eq!(event["model"], "pl\"ans");
        assert_eq!(event["object"], "chat.completion.chunk");
        let plain = writer(Endpoint::Text, "plans", RequestId(7));
        let event = read(&plain.token(text));
        assert_eq!(event["choices"][0]["text"], text);
        assert_eq!(event["id"], RequestId(7).to_string());
        let end = plain.end(text);
        assert!(end.ends_with(DONE_EVENT));
        assert_eq!(read(&end)["choices"][0]["finish_reason"], text);
    }
}
