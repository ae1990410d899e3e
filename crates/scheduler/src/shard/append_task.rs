use std::sync::Arc;

use dotterelhook_borders::log::Log;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use tokio::sync::mpsc;

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
        let result = log.append(&stream, &payloads).await;
        let _ = results.send(result).await;
    });
}
