use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// How a stand-in misbehaves.
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
    /// It works.
    #[default]
    None,
    /// It closes each connection without an answer, before it does anything.
    Down,
    /// It waits before it handles a request.
    Slow,
    /// It holds every request until the fault ends.
    Frozen,
    /// It refuses new work.
    Full,
    /// It handles a request and then closes the connection without an answer.
    LoseAnswers,
    /// It answers every request with a failure, at once.
    FailFast,
}

/// Body of `POST /fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultBody {
    /// The fault from now on.
    pub fault: Fault,
    /// How long a slow stand-in waits.
    #[serde(default)]
    pub delay_ms: u64,
}

/// The fault of a stand-in, to be changed at run time.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    body: Mutex<FaultBody>,
    changed: Notify,
}

impl FaultSwitch {
    /// Sets the fault from now on.
    pub fn set(&self, body: FaultBody) {
        *self.body.lock().unwrap_or_else(PoisonError::into_inner) = body;
        self.changed.notify_waiters();
    }

    /// Returns the present fault.
    pub fn get(&self) -> FaultBody {
        *self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as the present fault demands, and returns the fault then in force.
    pub async fn wait(&self) -> Fault {
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
