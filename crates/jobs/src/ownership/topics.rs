use rapidhash::v3::rapidhash_v3;

use crate::border::Group;
use crate::border::Partition;

/// Submissions and cancellations, written by the host that takes them from the client.
const SUBMISSIONS: &str = "keyed.submissions";
/// How far jobs are, written by the owner of their cell alone.
const PROGRESS: &str = "keyed.progress";
/// Who owns which cell.
const OWNERS: &str = "keyed.owners";

/// The hosts that may own cells; the numbers of the shared partitions are those of the cells.
pub(super) const HOSTS: Group = Group {
    name: "hosts",
    topic: PROGRESS,
};

/// Marks the key of a cancellation; that of a submission is the job's id.
pub(crate) const CANCELLATION_MARK: &str = "cancel.";

/// Returns the cell that an id belongs to, the same on every host.
pub fn cell_of(id: &str, cell_count: u32) -> u32 {
    (rapidhash_v3(id.as_bytes()) % u64::from(cell_count.max(1))) as u32
}

/// Returns where the submissions of a cell are stored.
pub fn submissions_of(cell: u32) -> Partition {
    Partition {
        topic: SUBMISSIONS,
        number: cell,
    }
}

/// Returns where the progress of a cell's jobs is stored.
pub(super) fn progress_of(cell: u32) -> Partition {
    Partition {
        topic: PROGRESS,
        number: cell,
    }
}

/// Returns where owners make themselves known.
pub(super) fn owners() -> Partition {
    Partition {
        topic: OWNERS,
        number: 0,
    }
}
