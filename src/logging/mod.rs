//! Logging to standard error through `tracing-subscriber`, as text or JSON.

use tracing::Level;

use crate::cli::{LogFormat, LogLevel};

/// Installs the process-wide subscriber and enters a span that adds `process` and `role` to every log line. The span
/// stays entered until the returned guard is dropped. On a current-thread runtime it covers every task, since all
/// tasks run on the thread that entered it and none exits it.
///
/// Call this once, at the start of the process. A second call keeps the installed subscriber and only enters the span.
pub fn init(
    format: LogFormat,
    level: LogLevel,
    process: &str,
    role: &'static str,
) -> tracing::span::EnteredSpan {
    let level = match level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
    };
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder
            .json()
            .with_current_span(true)
            .with_span_list(false)
            .flatten_event(true)
            .try_init(),
    };
    tracing::info_span!("process", process, role).entered()
}
