//! `dotterelhook`, the operator's command line.

mod cli;
mod command;
mod explain;

fn main() -> eyre::Result<()> {
    cli::run()
}
