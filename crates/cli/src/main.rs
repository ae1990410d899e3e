//! `dotterelhook`, the operator's command line.

mod cli;
mod command;
mod config_check;
mod explain;

fn main() -> eyre::Result<()> {
    cli::run()
}
