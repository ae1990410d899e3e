/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionPhase {
    /// A head or a body arrives.
    Receiving,
    /// An answer is sent.
    Answering,
    /// No request has begun.
    Idle,
    /// A handler works on the request.
    Running,
    /// The connection was told to close.
    Evicted,
}

impl ConnectionPhase {
    /// Returns whether the process waits for the client.
    pub(super) fn waits_for_client(self) -> bool {
        matches!(self, Self::Receiving | Self::Answering | Self::Idle)
    }

    /// Returns whether a request or an answer is incomplete because of the client.
    pub(super) fn is_exchange(self) -> bool {
        matches!(self, Self::Receiving | Self::Answering)
    }
}
