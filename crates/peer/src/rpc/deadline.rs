use std::time::Duration;

use hyper::HeaderMap;
use hyper::http::HeaderValue;

const HEADER: &str = "x-dotterelhook-timeout-ms";
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const TIMEOUT_MAX: Duration = Duration::from_secs(600);

/// Writes the caller's remaining time, in whole milliseconds, as a header.
pub(super) fn write(headers: &mut HeaderMap, remaining: Duration) {
    headers.insert(HEADER, HeaderValue::from(remaining.as_millis() as u64));
}

/// Reads the caller's remaining time.
///
/// Returns `DEFAULT_TIMEOUT` if the header is absent or invalid, and `TIMEOUT_MAX` at most.
pub(super) fn read(headers: &HeaderMap) -> Duration {
    let text = headers.get(HEADER).and_then(|value| value.to_str().ok());
    let remaining_ms = text.and_then(|text| text.parse().ok());
    remaining_ms
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis)
        .min(TIMEOUT_MAX)
}
