//! Parses the command line, runs the command and sets the exit code.

mod arguments;
mod help;

use std::process::exit;

pub(crate) use arguments::CommonArguments;
pub(crate) use arguments::Failure;

use crate::command;

/// Runs the command that the command line names. Exits with the code of its failure, if any.
pub(crate) fn run() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    if let Err(failure) = runtime.block_on(dispatch()) {
        eprintln!("dotterelhook: {failure}");
        exit(failure.exit_code());
    }
    Ok(())
}

async fn dispatch() -> Result<(), Failure> {
    let mut arguments = pico_args::Arguments::from_env();
    let name = arguments.subcommand().map_err(Failure::usage)?;
    let name = name.as_deref();
    if name.is_none() || arguments.contains(["-h", "--help"]) {
        print!("{}", help::text(name));
        return Ok(());
    }
    match name {
        Some("check") => command::check(arguments).await,
        Some("publish") => command::publish(arguments).await,
        Some("jobs") => command::jobs(arguments).await,
        Some("report") => report(arguments).await,
        Some("status") => command::status(arguments).await,
        Some("evacuate") => command::evacuate(arguments).await,
        Some("get") => command::get(arguments).await,
        Some("history") => command::history(arguments).await,
        Some("explain") => command::explain(arguments).await,
        Some(other) => Err(Failure::usage(format!("unknown command {other:?}"))),
        None => Ok(()),
    }
}

async fn report(mut arguments: pico_args::Arguments) -> Result<(), Failure> {
    match arguments.subcommand().map_err(Failure::usage)?.as_deref() {
        Some("burn") => command::report_burn(arguments).await,
        Some("losses") => command::report_losses(arguments).await,
        Some(other) => Err(Failure::usage(format!("unknown report {other:?}"))),
        None => Err(Failure::usage(
            "no report named; try: dotterelhook report burn, or report losses",
        )),
    }
}
