use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use super::HostList;
use super::HostSnapshot;
use crate::http::JsonClient;

/// The host list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: JsonClient,
}

impl HttpHostList {
    /// Creates an adapter for the list at the given address.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(address, timeout),
        }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<HostSnapshot, CallError> {
        self.client.get("/hosts").await?.check()?.decode()
    }
}
