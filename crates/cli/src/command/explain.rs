use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;

use crate::cli::CommonArguments;
use crate::cli::Failure;
use crate::explain::JobTimeline;
use crate::explain::LogLine;
use crate::explain::Overview;

/// Prints the timeline of one job, or an overview of all events, from the log lines of several
/// processes.
///
/// # Errors
/// No job id is given, a file can't be read, or no line is about the job.
pub(crate) async fn explain(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let is_json = arguments.is_json;
    let is_overview = arguments.flag("--overview");
    let job = match is_overview {
        true => None,
        false => Some(arguments.next_positional()?.ok_or_else(missing_job)?),
    };
    let mut files = Vec::new();
    while let Some(file) = arguments.next_positional()? {
        files.push(file);
    }
    arguments.finish()?;
    let mut logs = ParsedLogs::default();
    if files.is_empty() {
        logs.read("standard input", io::stdin().lock())?;
    }
    for file in &files {
        let opened =
            File::open(file).map_err(|error| Failure::usage(format!("{file}: {error}")))?;
        logs.read(file, BufReader::new(opened))?;
    }
    if logs.unparsable_count > 0 {
        eprintln!(
            "dotterelhook: {} lines are not log lines",
            logs.unparsable_count
        );
    }
    let Some(job) = job else {
        return print_overview(&Overview::from_lines(&logs.lines), is_json);
    };
    let Some(timeline) = JobTimeline::from_lines(&job, &logs.lines) else {
        let text = format!("no line is about job {job}, of {} read", logs.lines.len());
        return Err(Failure::NotFound(text));
    };
    if is_json {
        let text = serde_json::to_string_pretty(&timeline).map_err(Failure::usage)?;
        println!("{text}");
    } else {
        print_timeline(&timeline);
    }
    Ok(())
}

fn missing_job() -> Failure {
    Failure::usage("no job id given; try: dotterelhook explain ID host-*.log")
}

/// The parsed lines of all inputs, and the number of lines that are not log lines.
#[derive(Default)]
struct ParsedLogs {
    lines: Vec<LogLine>,
    unparsable_count: usize,
}

impl ParsedLogs {
    fn read(&mut self, name: &str, input: impl BufRead) -> Result<(), Failure> {
        for line in input.split(b'\n') {
            let line = line.map_err(|error| Failure::usage(format!("{name}: {error}")))?;
            match LogLine::parse(&String::from_utf8_lossy(&line)) {
                Some(line) => self.lines.push(line),
                None => self.unparsable_count += usize::from(!line.trim_ascii().is_empty()),
            }
        }
        Ok(())
    }
}

fn print_timeline(timeline: &JobTimeline) {
    let start_ms = timeline.lines.first().map_or(0, |line| line.timestamp_ms);
    println!("job {}, milliseconds from its first line", timeline.job);
    for line in &timeline.lines {
        let after_ms = line.timestamp_ms as i64 - start_ms as i64;
        let fields = line.fields.iter().filter(|(key, _)| &***key != "job");
        let fields: Vec<String> = fields
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let host = &line.host;
        let event = &line.event;
        println!("{after_ms:>8}  {host:<18} {event:<18} {}", fields.join(" "));
    }
    if !timeline.gaps.is_empty() {
        println!("gaps:");
        for gap in &timeline.gaps {
            println!("  {gap}");
        }
    }
}

fn print_overview(overview: &Overview, is_json: bool) -> Result<(), Failure> {
    if is_json {
        let text = serde_json::to_string_pretty(overview).map_err(Failure::usage)?;
        println!("{text}");
        return Ok(());
    }
    println!("second  stored refused unknown started stopped  paced   lost  changes");
    for second in &overview.seconds {
        println!(
            "{:>6}  {:>6} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6}  {}",
            second.second,
            second.stored,
            second.refused,
            second.unknown,
            second.started,
            second.stopped,
            second.paced,
            second.lost,
            second.changes.join("; ")
        );
    }
    Ok(())
}
