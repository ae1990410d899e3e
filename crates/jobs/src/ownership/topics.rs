use rapidhash::v3::rapidhash_v3;

use crate::platform::Group;
use crate::platform::Partition;

/// Submissions and cancellations, written by the host that takes them from the client.
const SUBMISSIONS: &str = "keyed.submissions";
/// How far jobs are, written by the owner of their cell alone.
const PROGRESS: &str = "keyed.progress";
/// Who owns which cell.
const OWNERS: &str = "keyed.owners";

/// The process that runs on each host.
const ROSTER: &str = "keyed.hosts";

/// The hosts that may own cells; the numbers of the shared partitions are those of the cells.
pub(super) const HOSTS: Group = Group {
    name: "hosts",
    topic: PROGRESS,
};

/// Marks the key of a cancellation; that of a submission is the job's id.
pub(crate) const CANCELLATION_KEY_PREFIX: &str = "cancel.";

/// Returns the cell that an id belongs to, the same on every host.
pub fn cell_of(id: &str, cell_count: u32) -> u32 {
    (rapidhash_v3(id.as_bytes()) % u64::from(cell_count.max(1))) as u32
}

/// Partitions of submissions for each cell. Appends to a partition are carried out one after the
/// other, which bounds a slow store: at 43 times its usual 4 ms one takes 5.8 a second.
const SUBMISSION_PARTITIONS_PER_CELL: u32 = 4;

/// Returns the partition of submissions with the given number.
pub fn submission_partition_at(number: u32) -> Partition {
    Partition {
        topic: SUBMISSIONS,
        number,
    }
}

/// Returns where the submission and the cancellation of a job are stored.
pub fn job_submission_partition(id: &str, cell_count: u32) -> Partition {
    let count = cell_count.max(1) * SUBMISSION_PARTITIONS_PER_CELL;
    let hash = rapidhash_v3(id.as_bytes());
    // Both numbers come from the same hash, so that each partition belongs to one cell.
    submission_partition_at((hash % u64::from(count)) as u32)
}

/// Returns the partitions that hold the submissions of a cell.
pub(super) fn cell_submission_partitions(
    cell: u32,
    cell_count: u32,
) -> impl Iterator<Item = Partition> {
    let cell_count = cell_count.max(1);
    (0..SUBMISSION_PARTITIONS_PER_CELL)
        .map(move |turn| submission_partition_at(cell + turn * cell_count))
}

/// Returns how many partitions a topic needs for the given number of cells.
pub fn required_partition_count(cell_count: u32) -> u32 {
    cell_count.max(1) * SUBMISSION_PARTITIONS_PER_CELL
}

/// Returns where the progress of a cell's jobs is stored.
pub(super) fn progress_of(cell: u32) -> Partition {
    Partition {
        topic: PROGRESS,
        number: cell,
    }
}

/// Returns where processes note themselves by host.
pub(super) fn roster() -> Partition {
    Partition {
        topic: ROSTER,
        number: 0,
    }
}

/// Returns where owners make themselves known.
pub(super) fn owners() -> Partition {
    Partition {
        topic: OWNERS,
        number: 0,
    }
}
