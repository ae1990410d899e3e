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
use tokio::time::Instant;

use super::BufferedAnswer;
use super::ByteBudget;
use super::FORWARD_CALL;
use super::ForwardReason;
use super::ForwardRequest;
use crate::idempotency::CLAIM_KEY_CALL;
use crate::idempotency::KeyClaim;
use crate::idempotency::KeyClaimReply;
use crate::request::Cause;
use crate::request::RequestError;

/// Less time than this does not suffice for a round trip to another failure domain.
const FORWARD_TIMEOUT_MIN: Duration = Duration::from_millis(40);
/// The part of the remaining time that is reserved for the answer's way back.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// Sends requests and key claims to other fronts.
pub(crate) struct Forwarder {
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) byte_budget: ByteBudget,
}

impl Forwarder {
    /// Forwards a request that the own failure domain cannot serve to a random front of another.
    ///
    /// Returns `None` without sending the request if no other domain has a live front, or if the
    /// remaining time or the byte budget does not suffice.
    pub(crate) async fn forward_to_other_domain(
        &self,
        mut request: ForwardRequest,
    ) -> Option<Result<BufferedAnswer, RequestError>> {
        let timeout = Duration::from_millis(request.timeout_ms);
        let members = self.membership.members();
        let others = members.into_iter().filter(|member| {
            member.state == MemberState::Alive
                && member.heartbeat.member.role.covers(Role::Front)
                && member.heartbeat.failure_domain != self.failure_domain
        });
        let other: Member = others.choose(&mut rand::rng())?;
        request.reason = ForwardReason::OtherDomain;
        request.timeout_ms = timeout.saturating_sub(RETURN_MARGIN).as_millis() as u64;
        let frame = Bytes::from(encode(&request).ok()?);
        if timeout < FORWARD_TIMEOUT_MIN || !self.byte_budget.try_withdraw(frame.len()) {
            return None;
        }
        let address = other.heartbeat.peer_address;
        let answer = self.call(address, frame, timeout).await;
        Some(answer.and_then(|frame| {
            self.byte_budget.withdraw(frame.len());
            decode_answer(&frame)
        }))
    }

    /// Forwards a request to the home front of its idempotency key.
    ///
    /// # Errors
    /// The call failed; the verdict says whether the request may have run there.
    pub(crate) async fn forward_to_key_home(
        &self,
        home: SocketAddr,
        request: &ForwardRequest,
    ) -> Result<BufferedAnswer, RequestError> {
        let timeout = Duration::from_millis(request.timeout_ms);
        let frame = encode(request)
            .map_err(|error| RequestError::not_run(Cause::BodyTooLarge, error.to_string()))?;
        let answer = self.call(home, frame.into(), timeout).await?;
        decode_answer(&answer)
    }

    /// Claims a key at all other fronts of the failure domain, each within `timeout` and all before
    /// `deadline`.
    ///
    /// Returns the answer or error that another front reports for the key, or `None` if the key's
    /// request may run.
    ///
    /// # Errors
    /// A front that may know the key did not answer; the key's request must not run.
    pub(crate) async fn claim_key(
        &self,
        claim: &KeyClaim,
        timeout: Duration,
        deadline: Instant,
    ) -> Result<Option<BufferedAnswer>, RequestError> {
        let unknown = |detail: String| RequestError::not_run(Cause::KeyHomeUnknown, detail);
        let frame = Bytes::from(encode(claim).map_err(|error| unknown(error.to_string()))?);
        for front in self.other_fronts_of_domain() {
            let address = front.heartbeat.peer_address;
            let timeout = timeout.min(deadline.saturating_duration_since(Instant::now()));
            let call = self
                .peers
                .call(address, CLAIM_KEY_CALL, frame.clone(), timeout);
            let reply = match tokio::time::timeout(timeout, call).await {
                Ok(Ok(reply)) => reply,
                // A front that left claimed its own keys at the fronts that remain.
                Ok(Err(error))
                    if front.state == MemberState::Draining && error.verdict == Verdict::NotRun =>
                {
                    continue;
                }
                Ok(Err(error)) => return Err(unknown(error.to_string())),
                Err(_) => return Err(unknown(format!("{address} did not answer in time"))),
            };
            match decode(&reply).map_err(|error| unknown(error.to_string()))? {
                KeyClaimReply::Claimed => {}
                KeyClaimReply::Denied(answer) => return Ok(Some(answer)),
            }
        }
        Ok(None)
    }

    fn other_fronts_of_domain(&self) -> Vec<Member> {
        let own_id = self.membership.own_id();
        let members = self.membership.members();
        let others = members.into_iter().filter(|member| {
            member.state != MemberState::Dead
                && member.heartbeat.member.role.covers(Role::Front)
                && member.heartbeat.member != own_id
                && member.heartbeat.failure_domain == self.failure_domain
        });
        others.collect()
    }

    /// Sends a request to another front and returns the frame of its answer.
    async fn call(
        &self,
        address: SocketAddr,
        frame: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, RequestError> {
        let call = self.peers.call(address, FORWARD_CALL, frame, timeout);
        match tokio::time::timeout(timeout, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(RequestError {
                cause: Cause::PeerFailed,
                verdict: error.verdict,
                detail: error.cause,
            }),
            Err(_) => {
                let detail = "the other front did not answer in time";
                Err(RequestError::may_have_run(Cause::Timeout, detail))
            }
        }
    }
}

fn decode_answer(frame: &[u8]) -> Result<BufferedAnswer, RequestError> {
    decode(frame).map_err(|error| RequestError::may_have_run(Cause::PeerFailed, error.to_string()))
}
