use super::*;

const STEP: Duration = Duration::from_millis(50);

#[test]
fn late_step_indicates_suspension() {
    let mut detector = SuspensionDetector::new(Time::START);
    assert!(!detector.was_suspended(Time::START + STEP, STEP));
    assert!(detector.was_suspended(Time::START + STEP + SUSPENSION_THRESHOLD + STEP * 2, STEP));
}

#[test]
fn system_time_jump_indicates_suspension() {
    let mut detector = SuspensionDetector::new(Time::START);
    detector.system_time -= SUSPENSION_THRESHOLD * 3;
    assert!(detector.was_suspended(Time::START + STEP, STEP));
    assert!(!detector.was_suspended(Time::START + STEP * 2, STEP), "a suspension is reported once");
}

#[test]
fn system_time_set_back_is_no_suspension() {
    let mut detector = SuspensionDetector::new(Time::START);
    detector.system_time += SUSPENSION_THRESHOLD * 3;
    assert!(!detector.was_suspended(Time::START + STEP, STEP));
}
