//! The operator's command line.

mod cli;
mod command;

fn main() -> eyre::Result<()> {
    cli::run()
}
