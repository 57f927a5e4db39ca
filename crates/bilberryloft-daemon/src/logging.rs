//! Logging setup: structured lines on standard output, written by a separate thread.

use std::sync::OnceLock;

use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// Most lines queued for the writer; further lines are dropped, so that a slow log reader never blocks work.
const QUEUED_LINES_MAX: usize = 2_048;

/// Counter of the lines that the writer dropped.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the number of log lines that were dropped because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.get().map_or(0, |it| it.dropped_lines() as u64)
}

/// Starts logging; a second call in a process has no effect.
///
/// The filter comes from `BILBERRYLOFT_LOG` and is `info` by default. Dropping the guard writes the queued lines.
pub fn start_logging(format: LogFormat) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES_MAX)
        .thread_name("log")
        .finish(std::io::stdout());
    // Setting it fails only for a second writer, whose lines go nowhere.
    let _ = DROPPED_LINES.set(writer.error_counter());
    let filter =
        EnvFilter::try_from_env("BILBERRYLOFT_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_target(false).with_writer(writer);
    // This fails in a process that already logs, such as a test, which keeps its first writer.
    let _ = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Text => builder.try_init(),
    };
    guard
}
