use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_scheduler::relocation::OtherDomains;
use dotterelhook_scheduler::relocation::RoomRequest;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::RunId;
use tokio::time::Instant;

const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Another failure domain, which adopts what it is given.
pub(crate) struct FakeDomain {
    started_at: Instant,
    state: Mutex<DomainState>,
}

#[derive(Default)]
struct DomainState {
    room: u64,
    loses_answers: bool,
    received: Vec<(u64, MovedRun)>,
}

impl FakeDomain {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, DomainState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets for how many tasks of any size there is room.
    pub(crate) fn set_room(&self, room: u64) {
        self.state().room = room;
    }

    /// Sets whether runs are adopted without an answer.
    pub(crate) fn set_loses_answers(&self, loses_answers: bool) {
        self.state().loses_answers = loses_answers;
    }

    /// Returns the runs received, with the time of each in milliseconds.
    pub(crate) fn received(&self) -> Vec<(u64, MovedRun)> {
        self.state().received.clone()
    }
}

#[async_trait]
impl OtherDomains for FakeDomain {
    fn failure_domains(&self) -> Vec<FailureDomain> {
        vec!["pampanga".parse().expect("a name")]
    }

    async fn room(&self, _: &FailureDomain, _: &RunId, _: &RoomRequest) -> Result<u64, CallError> {
        tokio::time::sleep(ANSWER_TIME).await;
        Ok(self.state().room)
    }

    async fn deliver(&self, _: &FailureDomain, moved: &MovedRun) -> Result<(), CallError> {
        tokio::time::sleep(ANSWER_TIME).await;
        let at_ms = self.started_at.elapsed().as_millis() as u64;
        let mut state = self.state();
        state.received.push((at_ms, moved.clone()));
        match state.loses_answers {
            true => Err(CallError::may_have_run("no answer in time")),
            false => Ok(()),
        }
    }
}
