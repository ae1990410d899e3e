use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::FailureDomain;
use hyper::StatusCode;
use serde::Deserialize;

use super::HostList;
use super::HostSnapshot;
use crate::http::JsonClient;

/// A host list with its version number, if the platform sends one.
#[derive(Clone, Debug, Deserialize)]
struct VersionedList {
    version: Option<u64>,
    #[serde(flatten)]
    snapshot: HostSnapshot,
}

/// An HTTP client of the host list. It caches the last list and requests a new one only if the
/// version has changed.
#[derive(Debug)]
pub struct HttpHostList {
    client: JsonClient,
    failure_domain: Option<FailureDomain>,
    cached: Mutex<Option<VersionedList>>,
}

impl HttpHostList {
    /// Creates a client of the list at the given address. It connects on the first read.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(address, timeout),
            failure_domain: None,
            cached: Mutex::default(),
        }
    }

    /// Restricts the list to the hosts of one failure domain.
    pub fn for_failure_domain(self, failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain: Some(failure_domain),
            ..self
        }
    }

    fn cached(&self) -> Option<VersionedList> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.clone()
    }

    fn path(&self, cached: Option<&VersionedList>) -> String {
        let domain = self.failure_domain.as_ref();
        let domain = domain.map(|domain| format!("failure_domain={domain}"));
        let version = cached.and_then(|cached| cached.version);
        let version = version.map(|version| format!("known_version={version}"));
        let query: Vec<String> = domain.into_iter().chain(version).collect();
        format!("/hosts?{}", query.join("&"))
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<HostSnapshot, CallError> {
        let cached = self.cached();
        let answer = self.client.get(&self.path(cached.as_ref())).await?;
        if answer.status == StatusCode::NOT_MODIFIED
            && let Some(cached) = cached
        {
            return Ok(cached.snapshot);
        }
        let list: VersionedList = answer.check_status()?.decode()?;
        let snapshot = list.snapshot.clone();
        *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = Some(list);
        Ok(snapshot)
    }
}
