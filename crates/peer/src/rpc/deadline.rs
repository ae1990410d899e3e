use std::time::Duration;

use hyper::HeaderMap;
use hyper::http::HeaderValue;

const HEADER: &str = "x-dotterelhook-timeout-ms";
const DEFAULT: Duration = Duration::from_secs(10);
const MAX: Duration = Duration::from_secs(600);

/// Writes the time that the caller still waits.
pub(super) fn write(headers: &mut HeaderMap, left: Duration) {
    headers.insert(HEADER, HeaderValue::from(left.as_millis() as u64));
}

/// Reads the time that the caller still waits, within bounds.
pub(super) fn read(headers: &HeaderMap) -> Duration {
    let text = headers.get(HEADER).and_then(|value| value.to_str().ok());
    let left_ms = text.and_then(|text| text.parse().ok());
    left_ms.map_or(DEFAULT, Duration::from_millis).min(MAX)
}
