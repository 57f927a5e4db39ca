//! Setting up the log.

use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// Starts logging to standard error; a second call changes nothing.
pub fn start_logging(format: LogFormat) {
    let filter =
        EnvFilter::try_from_env("BILBERRYLOFT_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Text => builder.try_init(),
    };
}
