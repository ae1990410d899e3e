use std::time::Duration;

/// Timing of the replies to clients' calls.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// The timeout of a call that names none.
    pub default_wait: Duration,
    /// The part of a client's timeout that is reserved for sending the reply back.
    pub answer_margin: Duration,
    /// The part of the remaining time in which the verdict on an unfinished write is given.
    pub verdict_margin: Duration,
    /// The timeout of one query to the owner of a cell.
    pub query_timeout: Duration,
    /// The delay after which a refused client may retry.
    pub retry_after: Duration,
    /// How long a host remembers the jobs that it accepted.
    pub recent_retention: Duration,
    /// How long a host stays ready without an answer from the store.
    pub ready_silence_max: Duration,
    /// Whether submissions record the failure domain of their entry host, in a layout that hosts of
    /// former versions can't read.
    pub records_entry_domain: bool,
    /// Whether submissions are refused for lack of capacity.
    pub refuses_for_capacity: bool,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            // The longest time that the clients of the deployments wait.
            default_wait: Duration::from_millis(3_000),
            // Several times the network latency to a client.
            answer_margin: Duration::from_millis(60),
            verdict_margin: Duration::from_millis(20),
            // Several round trips to another failure domain.
            query_timeout: Duration::from_millis(400),
            // The load balancer polls once a second.
            retry_after: Duration::from_millis(1_000),
            // Longer than an owner takes to read any submission.
            recent_retention: Duration::from_millis(10_000),
            // Two polls of the load balancer.
            ready_silence_max: Duration::from_millis(2_000),
            records_entry_domain: true,
            refuses_for_capacity: true,
        }
    }
}
