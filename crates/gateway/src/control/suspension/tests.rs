use super::*;

const STEP: Duration = Duration::from_millis(50);

#[test]
fn late_look_tells_of_sleep() {
    let mut wakefulness = SuspensionDetector::new(Time::START);
    assert!(!wakefulness.was_suspended(Time::START + STEP, STEP));
    assert!(wakefulness.was_suspended(Time::START + STEP + SLEPT + STEP * 2, STEP));
}

#[test]
fn time_of_day_that_went_on_alone_tells_of_sleep() {
    let mut wakefulness = SuspensionDetector::new(Time::START);
    wakefulness.time_of_day -= SLEPT * 3;
    assert!(wakefulness.was_suspended(Time::START + STEP, STEP));
    assert!(!wakefulness.was_suspended(Time::START + STEP * 2, STEP), "once");
}

#[test]
fn time_of_day_that_was_set_back_tells_nothing() {
    let mut wakefulness = SuspensionDetector::new(Time::START);
    wakefulness.time_of_day += SLEPT * 3;
    assert!(!wakefulness.was_suspended(Time::START + STEP, STEP));
}
