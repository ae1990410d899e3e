use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// An injected fault: how a stand-in misbehaves.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Requests are handled normally.
    #[default]
    None,
    /// Each connection is closed without an answer, and the request is not handled.
    Down,
    /// Each request is handled after a delay.
    Slow,
    /// Each request waits until the fault changes.
    Frozen,
    /// New requests are refused because all capacity is in use.
    Full,
    /// Each request is handled, and the connection is then closed without an answer.
    LoseAnswers,
    /// Each request is answered with a failure at once.
    FailFast,
}

/// Body of `POST /fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultBody {
    /// The fault to inject from now on.
    pub fault: Fault,
    /// The delay of each request under [`Fault::Slow`]; other faults ignore the value.
    #[serde(default)]
    pub delay_ms: u64,
}

/// The fault of a stand-in, which can be changed while the stand-in serves requests.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    body: Mutex<FaultBody>,
    changed: Notify,
}

impl FaultSwitch {
    /// Replaces the fault; requests that wait under [`Fault::Frozen`] are checked again.
    pub fn set(&self, body: FaultBody) {
        *self.body.lock().unwrap_or_else(PoisonError::into_inner) = body;
        self.changed.notify_waiters();
    }

    /// Returns the current fault and its delay.
    pub fn get(&self) -> FaultBody {
        *self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays the caller as the current fault demands, and returns the fault in force afterwards.
    pub async fn apply_delay(&self) -> Fault {
        loop {
            let changed = self.changed.notified();
            let body = self.get();
            match body.fault {
                Fault::Frozen => changed.await,
                Fault::Slow => {
                    tokio::time::sleep(Duration::from_millis(body.delay_ms)).await;
                    return Fault::Slow;
                }
                fault => return fault,
            }
        }
    }
}
