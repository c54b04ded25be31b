use super::*;

const SPEED: EngineSpeed = EngineSpeed {
    slots: 2,
    stride: 10,
    step: Duration::from_millis(5),
    step_per_request: Duration::ZERO,
    read_tokens_per_ms: 100.0,
    chunk_tokens: 1_000,
    first_event_overhead: Duration::from_millis(90),
    pace: 1.0,
};

fn request(id: u64, prompt_tokens: u32, output_tokens: u32) -> EngineRequest {
    EngineRequest { id, prompt_tokens, output_tokens }
}

#[test]
fn prompt_is_read_in_chunks_and_output_is_written_in_strides() {
    let mut engine = open(SPEED);
    engine.submit(request(1, 1_500, 11), Time::START);
    let mut events = Vec::new();
    engine.advance(Time::from_millis(1_000), &mut events);
    // Passes of 15, 10 and 50 ms.
    let first = EngineEvent::First { id: 1, at: Time::from_millis(115) };
    let last = EngineEvent::Last { id: 1, at: Time::from_millis(165) };
    assert_eq!(events, [first, last]);
    assert_eq!(engine.load(), 0);
}

#[test]
fn request_beyond_the_slots_waits_for_one_to_end() {
    let mut engine = open(SPEED);
    for id in 1..=3 {
        engine.submit(request(id, 100, 11), Time::START);
    }
    let mut events = Vec::new();
    engine.advance(Time::from_millis(1_000), &mut events);
    let first_at = |wanted| {
        events.iter().find_map(|it| match it {
            EngineEvent::First { id, at } if *id == wanted => Some(*at),
            _ => None,
        })
    };
    let last_at = events.iter().find_map(|it| match it {
        EngineEvent::Last { at, .. } => Some(*at),
        EngineEvent::First { .. } => None,
    });
    // The second one is read while the first one writes.
    assert!(first_at(2) <= last_at && last_at < first_at(3));
}
