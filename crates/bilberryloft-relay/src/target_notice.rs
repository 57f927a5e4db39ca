//! What a target says of itself in the head of its answer: that it wants rest, or that it is leaving.

use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header;

use crate::dialect::HeaderNames;
use crate::headers;
use crate::request::RelayRequest;

/// Longest rest that is kept. A target that is back earlier would otherwise stay unused for a mistaken value.
const REST_MAX: Duration = Duration::from_secs(3_600);
/// Value of the header of a target that is leaving.
const LEAVING: &str = "1";

/// What the head of an answer says of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Time for which the target wants no request from this entry.
    pub rest: Option<Duration>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
}

impl TargetNotice {
    /// Reads the head of an answer. One with status 421 comes from another target than the expected one and says nothing.
    pub fn read(status: StatusCode, answer: &HeaderMap, names: &HeaderNames) -> TargetNotice {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return TargetNotice::default();
        }
        let is_turned_away = status == StatusCode::SERVICE_UNAVAILABLE;
        TargetNotice {
            rest: if is_turned_away { read_rest(answer) } else { None },
            is_leaving: headers::text(answer, &names.leaving).map(str::trim) == Some(LEAVING),
        }
    }

    /// Logs what the target said, if it said anything.
    pub fn log(self, request: &RelayRequest, target_id: &str) {
        if self == TargetNotice::default() {
            return;
        }
        log_event!(
            info,
            Event::TargetNoticed,
            request_id = request.id,
            target_id,
            rest_ms = self.rest.map(|it| it.as_millis() as u64),
            is_leaving = self.is_leaving
        );
    }
}

/// Returns the time in a `retry-after` header in seconds, which may have fractions.
fn read_rest(answer: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers::text(answer, &header::RETRY_AFTER)?.trim().parse().ok()?;
    let rest = Duration::try_from_secs_f64(seconds).ok()?;
    (!rest.is_zero()).then(|| rest.min(REST_MAX))
}
