use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::http::JsonClient;
use hyper::Method;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Adds entries to the stand-in's list.
///
/// # Errors
/// The list can't be reached.
pub async fn register(host_list: SocketAddr, entries: &HostSnapshot) -> eyre::Result<()> {
    let client = JsonClient::new(host_list, CALL_TIMEOUT);
    client
        .send(Method::POST, "/hosts", entries)
        .await?
        .check_status()?;
    Ok(())
}
