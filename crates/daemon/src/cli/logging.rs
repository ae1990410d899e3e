use std::sync::Arc;

use dotterelhook_kernel::LineBuffer;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::StdStreamSink;
use spdlog::sink::WriteSink;

use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Makes the default logger write to the standard error stream, flushed after each line.
pub(super) fn init_stderr_logger(level: LogLevel, format: LogFormat) -> eyre::Result<()> {
    let sink = StdStreamSink::builder().stderr();
    let sink = match format {
        LogFormat::Text => sink
            .formatter(PatternFormatter::new(pattern!(
                "{datetime} {level} {payload}{eol}"
            )))
            .build()?,
        LogFormat::Json => sink.formatter(JsonFormatter::new()).build()?,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level.filter())
        .build()?;
    logger.set_flush_level_filter(spdlog::LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Makes the default logger write JSON lines into a buffer of the standard output.
///
/// Each line carries the host as the name of its logger.
pub(super) fn init_buffered_logger(
    host: &str,
    level: LogLevel,
    lines: LineBuffer,
) -> eyre::Result<()> {
    let sink = WriteSink::builder()
        .target(lines)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder()
        .name(host)
        .sink(Arc::new(sink))
        .level_filter(level.filter())
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
