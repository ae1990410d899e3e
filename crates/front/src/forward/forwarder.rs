use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_peer::membership::decode;
use dotterelhook_peer::membership::encode;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::FailureDomain;
use rand::seq::IteratorRandom;

use super::ByteBudget;
use super::CALL_NAME;
use super::ForwardAnswer;
use super::ForwardReason;
use super::ForwardRequest;
use crate::idempotency::KeyKnown;
use crate::idempotency::KeyNote;
use crate::idempotency::NOTE_CALL;
use crate::request::Cause;
use crate::request::RequestError;

/// Less time than this does not reach another failure domain and back.
const HOP_MIN: Duration = Duration::from_millis(40);
/// Part of the time left that is kept for the way back.
const MARGIN: Duration = Duration::from_millis(20);

/// Sends requests to other fronts.
pub(crate) struct Forwarder {
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) budget: ByteBudget,
}

impl Forwarder {
    /// Sends a request that the own failure domain can't serve to a front of another.
    ///
    /// Returns none if no other domain may be asked; nothing ran then.
    pub(crate) async fn to_other_domain(
        &self,
        mut request: ForwardRequest,
    ) -> Option<Result<ForwardAnswer, RequestError>> {
        let timeout = Duration::from_millis(request.timeout_ms);
        let members = self.membership.members();
        let others = members.into_iter().filter(|member| {
            member.state == MemberState::Alive
                && member.heartbeat.member.role == Role::Front
                && member.heartbeat.failure_domain != self.failure_domain
        });
        let other: Member = others.choose(&mut rand::rng())?;
        request.reason = ForwardReason::OtherDomain;
        request.timeout_ms = timeout.saturating_sub(MARGIN).as_millis() as u64;
        let frame = Bytes::from(encode(&request).ok()?);
        if timeout < HOP_MIN || !self.budget.try_take(frame.len()) {
            return None;
        }
        let address = other.heartbeat.peer_address;
        Some(self.call(address, frame, timeout).await)
    }

    /// Sends a request to the front that keeps its key.
    ///
    /// # Errors
    /// The verdict says whether it may have run there.
    pub(crate) async fn to_key_home(
        &self,
        home: SocketAddr,
        request: &ForwardRequest,
    ) -> Result<ForwardAnswer, RequestError> {
        let timeout = Duration::from_millis(request.timeout_ms);
        let frame = encode(request)
            .map_err(|error| RequestError::not_run(Cause::BodyTooLarge, error.to_string()))?;
        self.call(home, frame.into(), timeout).await
    }

    /// Notes a key at all other fronts of the domain; returns what one of them knows of it.
    ///
    /// # Errors
    /// A front that may know the key can't be asked; the key's request must not run.
    pub(crate) async fn note_key(
        &self,
        note: &KeyNote,
        timeout: Duration,
    ) -> Result<Option<ForwardAnswer>, RequestError> {
        let unknown = |cause: String| RequestError::not_run(Cause::KeyHomeUnknown, cause);
        let frame = Bytes::from(encode(note).map_err(|error| unknown(error.to_string()))?);
        for front in self.other_fronts() {
            let address = front.heartbeat.peer_address;
            let call = self.peers.call(address, NOTE_CALL, frame.clone(), timeout);
            let known = match tokio::time::timeout(timeout, call).await {
                Ok(Ok(known)) => known,
                // A front that left has noted its own keys at those that stay.
                Ok(Err(error))
                    if front.state == MemberState::Draining && error.verdict == Verdict::NotRun =>
                {
                    continue;
                }
                Ok(Err(error)) => return Err(unknown(error.to_string())),
                Err(_) => return Err(unknown(format!("{address} did not answer in time"))),
            };
            match decode(&known).map_err(|error| unknown(error.to_string()))? {
                KeyKnown::Noted => {}
                KeyKnown::Ended(answer) => return Ok(Some(answer)),
            }
        }
        Ok(None)
    }

    fn other_fronts(&self) -> Vec<Member> {
        let own_id = self.membership.own_id();
        let members = self.membership.members();
        let others = members.into_iter().filter(|member| {
            member.state != MemberState::Dead
                && member.heartbeat.member.role == Role::Front
                && member.heartbeat.member != own_id
                && member.heartbeat.failure_domain == self.failure_domain
        });
        others.collect()
    }

    async fn call(
        &self,
        address: SocketAddr,
        frame: Bytes,
        timeout: Duration,
    ) -> Result<ForwardAnswer, RequestError> {
        let call = self.peers.call(address, CALL_NAME, frame, timeout);
        let answer = match tokio::time::timeout(timeout, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                return Err(RequestError {
                    cause: Cause::PeerFailed,
                    verdict: error.verdict,
                    detail: error.cause,
                });
            }
            Err(_) => {
                let detail = "the other front did not answer in time";
                return Err(RequestError::may_have_run(Cause::Timeout, detail));
            }
        };
        self.budget.take_used(answer.len());
        decode(&answer)
            .map_err(|error| RequestError::may_have_run(Cause::PeerFailed, error.to_string()))
    }
}
