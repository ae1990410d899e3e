//! Runs a stand-in for the platform's log: `--listen ADDRESS [--records-max N]`, where N bounds the
//! retained records of each stream.

use std::sync::Arc;

use dotterelhook_standins::log::LogServer;
use dotterelhook_standins::server::Arguments;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;

const DEFAULT_RECORDS_MAX: usize = 1_000_000;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let listener = bind(arguments.required("--listen")?).await?;
    let records_max = arguments.optional("--records-max", DEFAULT_RECORDS_MAX)?;
    arguments.finish()?;
    serve(listener, Arc::new(LogServer::new(records_max))).await;
    Ok(())
}
