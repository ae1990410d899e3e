use std::time::Duration;

/// How clients' calls are answered.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// How long a client waits that does not say so.
    pub default_wait: Duration,
    /// The part of a client's wait that is kept for the way back.
    pub answer_margin: Duration,
    /// The longest wait for the owner's answer to a question.
    pub query_timeout: Duration,
    /// When a client may come back after a refusal.
    pub retry_after: Duration,
    /// How long a host remembers the jobs that it accepted.
    pub recent_retention: Duration,
    /// How long a host without an answer of the store calls itself ready.
    pub ready_silence_max: Duration,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            // What the deployments' clients wait at most.
            default_wait: Duration::from_millis(3_000),
            // Several times the way to a client.
            answer_margin: Duration::from_millis(60),
            // Several times the way to another failure domain and back.
            query_timeout: Duration::from_millis(400),
            // The balancer looks once a second.
            retry_after: Duration::from_millis(1_000),
            // Above the time after which an owner has read every submission.
            recent_retention: Duration::from_millis(10_000),
            // Two looks of the balancer.
            ready_silence_max: Duration::from_millis(2_000),
        }
    }
}
