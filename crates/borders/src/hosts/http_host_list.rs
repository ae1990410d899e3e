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

/// A list with the number of its version, if the platform gives one.
#[derive(Clone, Debug, Deserialize)]
struct VersionedList {
    version: Option<u64>,
    #[serde(flatten)]
    snapshot: HostSnapshot,
}

/// The host list over HTTP; a list that has not changed is not sent again.
#[derive(Debug)]
pub struct HttpHostList {
    client: JsonClient,
    failure_domain: Option<FailureDomain>,
    known: Mutex<Option<VersionedList>>,
}

impl HttpHostList {
    /// Creates an adapter for the list at the given address.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(address, timeout),
            failure_domain: None,
            known: Mutex::default(),
        }
    }

    /// Asks for the hosts of one failure domain only.
    pub fn for_failure_domain(self, failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain: Some(failure_domain),
            ..self
        }
    }

    fn known(&self) -> Option<VersionedList> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.clone()
    }

    fn path(&self, known: Option<&VersionedList>) -> String {
        let domain = self.failure_domain.as_ref();
        let domain = domain.map(|domain| format!("failure_domain={domain}"));
        let version = known.and_then(|known| known.version);
        let version = version.map(|version| format!("known_version={version}"));
        let query: Vec<String> = domain.into_iter().chain(version).collect();
        format!("/hosts?{}", query.join("&"))
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<HostSnapshot, CallError> {
        let known = self.known();
        let answer = self.client.get(&self.path(known.as_ref())).await?;
        if answer.status == StatusCode::NOT_MODIFIED
            && let Some(known) = known
        {
            return Ok(known.snapshot);
        }
        let list: VersionedList = answer.check_status()?.decode()?;
        let snapshot = list.snapshot.clone();
        *self.known.lock().unwrap_or_else(PoisonError::into_inner) = Some(list);
        Ok(snapshot)
    }
}
