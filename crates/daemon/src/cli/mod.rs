//! The daemon's command line: arguments, loading of the settings and exit codes.

mod arguments;
mod logging;

use std::fs;
use std::path::Path;
use std::process::exit;

use arguments::Arguments;
use dotterelhook_kernel::LineBuffer;
use dotterelhook_types::document::Document;
use dotterelhook_types::document::DocumentError;

use crate::daemon::Daemon;
use crate::jobs::JobsDaemon;
use crate::jobs::JobsSettings;
use crate::jobs::RawJobsSettings;
use crate::settings::DaemonSettings;

const EXIT_BAD_SETTINGS: i32 = 2;

const HELP: &str = "\
dotterelhookd - the daemon of an entry host

USAGE:
    dotterelhookd --settings FILE [--check]
    dotterelhookd --settings-from VARIABLE [--check]

OPTIONS:
    --settings FILE   the settings file, JSON with comments
    --settings-from VARIABLE
                      the environment variable with the path of the settings file
    --check           check the settings and exit
    --help            print this text

EXIT CODES:
    0  stopped as planned, or the settings are valid
    1  could not start, or a planned stop cut something off
    2  the command line or the settings are invalid

EXAMPLE:
    dotterelhookd --settings examples/default.jsonc --check
";

/// Parses the command line, loads the settings, and checks them only or runs the daemon.
pub(crate) fn run() -> eyre::Result<()> {
    let arguments = match Arguments::from_env() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("dotterelhookd: {error}\n\n{HELP}");
            exit(EXIT_BAD_SETTINGS);
        }
    };
    let Arguments::Run {
        settings,
        only_check,
    } = arguments
    else {
        print!("{HELP}");
        return Ok(());
    };
    let checked = match load_settings(&settings) {
        Ok(checked) => checked,
        Err(error) => {
            eprintln!("dotterelhookd: {error}");
            exit(EXIT_BAD_SETTINGS);
        }
    };
    if only_check {
        println!("{}: valid", settings.display());
        return Ok(());
    }
    match checked {
        CheckedSettings::Daemon(checked) => {
            logging::init_stderr_logger(checked.log_level, checked.log_format)?;
            Daemon::new(*checked).run()
        }
        CheckedSettings::Jobs(checked) => {
            let lines = LineBuffer::default();
            lines.start_writer()?;
            let (level, format) = (checked.log_level, checked.log_format);
            logging::init_buffered_logger(&checked.host, level, format, lines.clone())?;
            let result = JobsDaemon::new(*checked).run();
            lines.drain_to_stdout();
            result
        }
    }
}

/// The checked settings of either kind of daemon. The section `jobs` of the file selects the kind.
enum CheckedSettings {
    /// Settings of a daemon that serves requests and places runs of declared batch jobs.
    Daemon(Box<DaemonSettings>),
    /// Settings of a daemon that runs jobs that carry their own steps.
    Jobs(Box<JobsSettings>),
}

fn load_settings(file: &Path) -> Result<CheckedSettings, DocumentError> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| DocumentError {
        file: name.clone().into(),
        line: 0,
        column: 0,
        field: "".into(),
        value: "".into(),
        rule: format!("can't read the file: {error}").into(),
    })?;
    let document = Document::parse(&name, &text)?;
    if document.value().get("jobs").is_some() {
        let raw: RawJobsSettings = document.decode()?;
        let checked = JobsSettings::try_from(raw).map_err(|error| document.locate(&error))?;
        return Ok(CheckedSettings::Jobs(Box::new(checked)));
    }
    let raw = document.decode()?;
    let checked = DaemonSettings::try_from_raw(raw).map_err(|error| document.locate(&error))?;
    Ok(CheckedSettings::Daemon(Box::new(checked)))
}
