//! `dotterelhookd`, the daemon of an entry host.

mod admin;
mod cli;
mod daemon;
mod jobs;
mod settings;

fn main() -> eyre::Result<()> {
    cli::run()
}
