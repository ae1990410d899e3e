//! The daemon of an entry host.

mod admin;
mod cli;
mod daemon;
mod settings;

fn main() -> eyre::Result<()> {
    cli::run()
}
