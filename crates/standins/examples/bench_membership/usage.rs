use std::fs;

use super::fleet::Daemon;
use super::fleet::read_metric;

const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;
/// An IPv4 header of 20 bytes and a UDP header of 8 bytes.
const PACKET_HEADER_BYTES: f64 = 28.0;

/// The cumulative resource usage of one daemon; `resident_mb` is the current value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) cpu_s: f64,
    pub(crate) resident_mb: f64,
    /// Membership traffic, including packet headers.
    pub(crate) sent_bytes: f64,
    pub(crate) received_bytes: f64,
}

impl Usage {
    /// Reads the usage from `/proc` and from the metrics of the daemon.
    pub(crate) async fn read(daemon: &Daemon) -> Self {
        let (cpu_s, resident_mb) = read_process(daemon.pid()).unwrap_or_default();
        let metric = async |name: &str| read_metric(&daemon.admin, name).await.unwrap_or(0.0);
        let sent = metric("membership_sent_bytes_total").await;
        let sent_frames = metric("membership_sent_frames_total").await;
        let received = metric("membership_received_bytes_total").await;
        let received_frames = metric("membership_received_frames_total").await;
        Self {
            cpu_s,
            resident_mb,
            sent_bytes: sent + sent_frames * PACKET_HEADER_BYTES,
            received_bytes: received + received_frames * PACKET_HEADER_BYTES,
        }
    }
}

/// Returns the processor time in seconds and the resident memory in MB of a process.
fn read_process(pid: u32) -> Option<(f64, f64)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>().ok()? + fields[12].parse::<f64>().ok()?;
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some((ticks / TICKS_PER_SECOND, pages * PAGE_BYTES / 1e6))
}
