use std::sync::Arc;

use dotterelhook_kernel::LineBuffer;
use spdlog::Logger;
use spdlog::formatter::Formatter;
use spdlog::formatter::JsonFormatter;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::SinkPropAccess;
use spdlog::sink::StdStreamSink;
use spdlog::sink::WriteSink;

use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Makes the default logger write to the standard error stream, flushed after each line.
pub(super) fn init_stderr_logger(level: LogLevel, format: LogFormat) -> eyre::Result<()> {
    let sink = StdStreamSink::builder().stderr().build()?;
    sink.set_formatter(formatter(format));
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level.filter())
        .build()?;
    logger.set_flush_level_filter(spdlog::LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Makes the default logger write into a buffer of the standard output.
///
/// Each JSON line carries the host as the name of its logger.
pub(super) fn init_buffered_logger(
    host: &str,
    level: LogLevel,
    format: LogFormat,
    lines: LineBuffer,
) -> eyre::Result<()> {
    let sink = WriteSink::builder().target(lines).build()?;
    sink.set_formatter(formatter(format));
    let logger = Logger::builder()
        .name(host)
        .sink(Arc::new(sink))
        .level_filter(level.filter())
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn formatter(format: LogFormat) -> Box<dyn Formatter> {
    match format {
        LogFormat::Text => Box::new(PatternFormatter::new(pattern!(
            "{datetime} {level} {payload}{kv}{eol}"
        ))),
        LogFormat::Json => Box::new(JsonFormatter::new()),
    }
}
