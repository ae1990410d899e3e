use std::time::Duration;

use dotterelhook_platform::log::Log;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::CallError;

const PAGE_RECORDS: usize = 1_000;

/// Reads the configuration in force from the log, up to its present end.
pub(super) async fn read_config(log: &dyn Log) -> Result<ConfigState, CallError> {
    let mut state = ConfigState::default();
    loop {
        let from = state.next_offset();
        let page = log
            .read(CONFIG_STREAM, from, PAGE_RECORDS, Duration::ZERO)
            .await?;
        for record in &page.records {
            // A refusal is kept as the record's outcome.
            let _ = state.apply(record.offset, &record.payload);
        }
        if page.records.is_empty() || state.next_offset() >= page.end_offset {
            return Ok(state);
        }
    }
}
