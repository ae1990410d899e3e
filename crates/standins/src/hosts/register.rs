use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_platform::hosts::HostSnapshot;
use dotterelhook_platform::http::JsonClient;
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
        .check()?;
    Ok(())
}
