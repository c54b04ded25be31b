use super::*;

fn split(chunks: &[&str]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes()).unwrap();
        while let Some(event) = splitter.next_event() {
            events.push((event.id, String::from_utf8(event.bytes.to_vec()).unwrap()));
        }
    }
    (events, splitter.is_mid_event())
}

#[test]
fn events_are_complete_wherever_the_bytes_are_split() {
    let stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    let expected = vec![
        (Some(1), "id: 1\ndata: a\n\n".to_owned()),
        (Some(2), "id: 2\r\ndata: b\r\n\r\n".to_owned()),
        (None, "data: c\n\n".to_owned()),
    ];
    for cut in 0..stream.len() {
        let (head, tail) = stream.split_at(cut);
        assert_eq!(split(&[head, tail]), (expected.clone(), false), "cut at {cut}");
    }
    let bytes: Vec<&str> = stream.split_inclusive(|_: char| true).collect();
    assert_eq!(split(&bytes), (expected, false));
}

#[test]
fn incomplete_event_is_not_returned() {
    let (events, is_mid_event) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(is_mid_event);
}

#[test]
fn endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    let line = vec![b'x'; MAX_EVENT_BYTES / 2];
    assert_eq!(splitter.push(&line), Ok(()));
    assert_eq!(splitter.push(&line), Ok(()));
    assert_eq!(splitter.push(b"x"), Err(TooLarge));
}
