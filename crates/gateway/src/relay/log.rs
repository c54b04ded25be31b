//! Log line of each request with its outcome and the chosen server.

use std::time::Duration;

use citrongw_coordination::clock::Clock;
use citrongw_protocol::code::ResultCode;
use citrongw_state::{id::RequestId, time::Time};

use super::{attempts::Attempts, call::Call, send::Cause};
use crate::metrics::Metrics;

/// Log line that is written when the request ends or its caller disconnects.
#[derive(Debug)]
pub(super) struct RequestLog {
    request: RequestId,
    attempt: Option<String>,
    route: String,
    service: String,
    version: Option<u64>,
    clock: Clock,
    arrived_at: Time,
    first_event_after: Option<Duration>,
    is_written: bool,
    metrics: Metrics,
    /// Expected tokens of the prompt and of the output, if the cost is known.
    expected_tokens: Option<(f64, f64)>,
}

impl RequestLog {
    /// Starts the log line of a request.
    pub(super) fn open(call: &Call, clock: Clock, version: Option<u64>, metrics: &Metrics) -> Self {
        Self {
            request: call.request,
            attempt: call.meta.attempt.clone(),
            route: call.route.name.clone(),
            service: call.service.to_string(),
            version,
            clock,
            arrived_at: call.arrived_at,
            first_event_after: None,
            is_written: false,
            metrics: metrics.clone(),
            expected_tokens: call
                .cost
                .map(|it| (it.expected.prompt_tokens, it.expected.output_tokens)),
        }
    }

    /// Records that the first event has arrived.
    pub(super) fn record_first_event(&mut self) {
        self.first_event_after = Some(self.age());
    }

    /// Ends the line with the status of a backend server's response.
    pub(super) fn end_with_status(&mut self, status: u16, attempts: &Attempts) {
        self.write("answered", Some(status), attempts.last_cause(), Some(attempts));
    }

    /// Ends the line with a refusal or failure that the gateway reports itself.
    pub(super) fn end_with_refusal(&mut self, code: ResultCode, attempts: &Attempts) {
        let status = Some(code.http_status());
        self.write(&code.to_string(), status, attempts.last_cause(), Some(attempts));
    }

    /// Ends the line of an interrupted response.
    pub(super) fn end_interrupted(&mut self, cause: Cause, attempts: &Attempts) {
        self.write("stream broken off", None, Some(cause), Some(attempts));
    }

    fn age(&self) -> Duration {
        self.clock.now().since(self.arrived_at)
    }

    fn write(
        &mut self,
        outcome: &str,
        status: Option<u16>,
        cause: Option<Cause>,
        attempts: Option<&Attempts>,
    ) {
        self.is_written = true;
        let choice = attempts.and_then(Attempts::last_choice);
        let best = choice.map(|it| &it.best);
        let runner_up = choice.and_then(|it| it.runner_up.as_ref());
        let age = self.age();
        let predicted = best.and_then(|it| it.load.predicted);
        let other_predicted = runner_up.and_then(|it| it.load.predicted);
        if let Some(predicted) = predicted {
            self.metrics.count_prediction(&self.service, predicted.compared);
        }
        self.metrics.count_request(&self.service, status, age, self.first_event_after);
        tracing::info!(
            request = %self.request,
            attempt = self.attempt,
            route = self.route,
            service = self.service,
            config = self.version,
            outcome,
            status,
            cause = cause.map(|it| it.to_string()),
            attempts = attempts.map_or(0, Attempts::count),
            server = best.map(|it| it.server.id.as_str()),
            load = best.map(|it| it.load.requests.round()),
            load_age_ms = best.and_then(|it| it.load.reported_age).map(|it| it.as_millis()),
            runner_up = runner_up.map(|it| it.server.id.as_str()),
            runner_up_load = runner_up.map(|it| it.load.requests.round()),
            prompt_tokens = self.expected_tokens.map(|(prompt, _)| prompt.round()),
            output_tokens = self.expected_tokens.map(|(_, output)| output.round()),
            predicted_ms = predicted.map(|it| it.compared.as_millis()),
            queued_tokens = predicted.map(|it| it.queued_tokens.round()),
            slowness = predicted.map(|it| it.slowness),
            time_factor = predicted.map(|it| it.time_factor),
            runner_up_predicted_ms = other_predicted.map(|it| it.compared.as_millis()),
            took_ms = age.as_millis(),
            first_event_ms = self.first_event_after.map(|it| it.as_millis()),
            "request ended"
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.is_written {
            self.write("caller left", None, None, None);
        }
    }
}
