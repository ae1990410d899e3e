use serde::Deserialize;
use serde::Serialize;

use super::Digest;
use super::Heartbeat;
use super::MemberId;

/// The content of one datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Reports the sender's state to a member of the same failure domain.
    Heartbeat(Heartbeat),
    /// Reports the sender's state and requests all members that the receiver knows.
    Join(Heartbeat),
    /// Requests fresh heartbeats of members that the sender has not heard lately.
    Ask(Vec<MemberId>),
    /// Requests descriptions for the process keys of a digest.
    Describe(Vec<u32>),
    /// Answers `Join`, `Ask` and `Describe`.
    Answer(Digest),
    /// Reports the members of one failure domain to another, where members forward it.
    Digest(Digest),
}
