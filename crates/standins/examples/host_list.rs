//! Runs a stand-in for the platform's host list: `--listen ADDRESS [--lag-ms N]`.

use std::sync::Arc;
use std::time::Duration;

use dotterelhook_standins::hosts::HostListServer;
use dotterelhook_standins::server::Arguments;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let listener = bind(arguments.required("--listen")?).await?;
    let lag = Duration::from_millis(arguments.optional("--lag-ms", 0)?);
    arguments.finish()?;
    serve(listener, Arc::new(HostListServer::new(lag))).await;
    Ok(())
}
