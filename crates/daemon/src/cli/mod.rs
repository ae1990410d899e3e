//! The daemon's command line.

mod arguments;
mod logging;

use std::fs;
use std::path::Path;
use std::process::exit;

use arguments::Arguments;
use dotterelhook_types::document::Document;
use dotterelhook_types::document::Fault;

use crate::daemon::Daemon;
use crate::settings::DaemonSettings;

const EXIT_BAD_SETTINGS: i32 = 2;

const HELP: &str = "\
dotterelhookd - the daemon of an entry host

USAGE:
    dotterelhookd --settings FILE [--check]

OPTIONS:
    --settings FILE   the settings, JSON with comments
    --check           check the settings and exit
    --help            print this text

EXIT CODES:
    0  stopped as planned, or the settings are valid
    1  could not start, or a planned stop cut something off
    2  the command line or the settings are invalid

EXAMPLE:
    dotterelhookd --settings examples/default.jsonc --check
";

/// Runs the daemon as the command line says.
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
    let checked = match load(&settings) {
        Ok(checked) => checked,
        Err(fault) => {
            eprintln!("dotterelhookd: {fault}");
            exit(EXIT_BAD_SETTINGS);
        }
    };
    if only_check {
        println!("{}: valid", settings.display());
        return Ok(());
    }
    logging::start(checked.log_level, checked.log_format)?;
    Daemon::new(checked).run()
}

fn load(file: &Path) -> Result<DaemonSettings, Fault> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| Fault {
        file: name.clone().into(),
        line: 0,
        column: 0,
        field: "".into(),
        value: "".into(),
        rule: format!("can't read the file: {error}").into(),
    })?;
    let document = Document::parse(&name, &text)?;
    let raw = document.decode()?;
    DaemonSettings::try_from_raw(raw).map_err(|fault| document.locate(&fault))
}
