//! Setting up the log: structured lines on standard output, written by a thread of its own.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// Lines that wait for the writer; more are dropped, so that a slow reader of the log never holds up work.
const LINES_MAX: usize = 2_048;

/// Starts logging; a second call changes nothing. What waits is written when the guard is dropped.
pub fn start_logging(format: LogFormat) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_MAX)
        .thread_name("log")
        .finish(std::io::stdout());
    let filter =
        EnvFilter::try_from_env("BILBERRYLOFT_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_target(false).with_writer(writer);
    // A process that logs already, such as a test, keeps its first writer.
    let _ = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Text => builder.try_init(),
    };
    guard
}
