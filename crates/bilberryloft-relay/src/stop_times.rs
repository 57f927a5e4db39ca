//! Times of the stages of a planned stop, from the time that the process has for it.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which a stopping relay still accepts connections. The balancer removes it only after two failed readiness
/// checks, one second apart.
const CLOSE_NOTICE: Duration = Duration::from_millis(2_300);
/// Largest part of the whole time for that, in hundredths, so that what was accepted last can still be answered.
const CLOSE_HUNDREDTHS_MAX: u32 = 60;
/// Time reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Part of the whole time that is reserved for final answers to what still waits, in hundredths.
const ANSWER_HUNDREDTHS: u32 = 5;
/// Part of that in which streams still go on, in hundredths of it.
const STREAM_HUNDREDTHS: u32 = 50;

/// Times of the stages of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Time from which no connections are accepted, and requests that arrive are refused.
    pub closed: Instant,
    /// Time at which requests that still wait get a final answer.
    pub answering: Instant,
    /// Time at which streams are broken off.
    pub breaking: Instant,
    /// Time by which all is answered.
    pub end: Instant,
}

impl StopTimes {
    /// Divides the time that a process has from the signal to its end. The signal was noticed `now`, and may have come
    /// earlier by `late`.
    pub fn new(now: Instant, late: Duration, within: Duration) -> StopTimes {
        let left = within.saturating_sub(late);
        let closed = now + CLOSE_NOTICE.min(left * CLOSE_HUNDREDTHS_MAX / 100);
        let end = now + left.saturating_sub(EXIT_RESERVE);
        let answer_time = within * ANSWER_HUNDREDTHS / 100;
        StopTimes {
            closed,
            answering: end - answer_time,
            breaking: end - answer_time * (100 - STREAM_HUNDREDTHS) / 100,
            end,
        }
    }
}
