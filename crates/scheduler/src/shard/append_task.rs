use std::sync::Arc;

use dotterelhook_borders::log::Log;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use tokio::sync::mpsc;
use tokio::task::JoinError;

/// Offset of the first appended record, or the failure of the append.
pub(super) type AppendResult = Result<Offset, CallError>;

/// Appends records in a separate task, so that a slow log does not block the shard's task.
pub(super) fn spawn_append(
    log: Arc<dyn Log>,
    stream: Box<str>,
    payloads: Vec<Box<str>>,
    results: mpsc::Sender<AppendResult>,
) {
    tokio::spawn(async move {
        // Without a result, a panic would leave the shard waiting for the append for good.
        let append = tokio::spawn(async move { log.append(&stream, &payloads).await });
        let panicked = |error: JoinError| Err(CallError::may_have_run(error.to_string()));
        let _ = results.send(append.await.unwrap_or_else(panicked)).await;
    });
}
