//! `dotterelhookd`, the daemon of an entry host. The settings file selects the services: a front, a
//! scheduler or both, or the acceptance and placement of jobs that carry their own steps.

mod admin;
mod cli;
mod daemon;
mod jobs;
mod settings;

fn main() -> eyre::Result<()> {
    cli::run()
}
