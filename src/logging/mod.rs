//! Log lines to standard error through `tracing-subscriber`, as text or as JSON.

use tracing::Level;

use crate::cli::{LogFormat, LogLevel};

/// Installs the subscriber for the whole process and enters a span that names it, so that every line
/// carries `process` and `role`. The span stays entered for as long as the returned guard lives; on a
/// current-thread runtime that covers every task, for none of them leaves it.
///
/// Call once, first thing; a second call finds a subscriber in place and only enters the span.
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
