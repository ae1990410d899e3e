use serde::Deserialize;
use serde::Serialize;

use super::Digest;
use super::Heartbeat;
use super::MemberId;

/// One datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Tells a member of the same failure domain that the sender lives.
    Heartbeat(Heartbeat),
    /// Tells the same, and asks for all members that the receiver knows.
    Join(Heartbeat),
    /// Asks whether the receiver heard members that the sender did not hear lately.
    Ask(Vec<MemberId>),
    /// Answers `Join` and `Ask`.
    Answer(Digest),
    /// Tells other failure domains who lives in one; passed on inside a domain.
    Digest(Digest),
}
