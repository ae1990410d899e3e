use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::http::JsonClient;
use hyper::Method;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Adds entries to the list of a running stand-in; existing entries with the same ids are replaced.
///
/// # Errors
/// The host list does not answer or refuses the entries.
pub async fn register(host_list: SocketAddr, entries: &HostSnapshot) -> eyre::Result<()> {
    let client = JsonClient::new(host_list, CALL_TIMEOUT);
    client
        .send(Method::POST, "/hosts", entries)
        .await?
        .check_status()?;
    Ok(())
}
