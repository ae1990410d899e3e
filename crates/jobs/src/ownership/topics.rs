use rapidhash::v3::rapidhash_v3;

use crate::platform::Group;
use crate::platform::Partition;

/// Submissions and cancellations, written by the host that received them from the client.
const SUBMISSIONS: &str = "keyed.submissions";
/// The progress of jobs, written only by the owner of their cell.
const PROGRESS: &str = "keyed.progress";
/// The owner of each cell.
const OWNERS: &str = "keyed.owners";

/// The process that runs on each host.
const HOST_REGISTRY: &str = "keyed.hosts";

/// The group of hosts that may own cells. Partition numbers of its topic equal cell numbers.
pub(super) const HOST_GROUP: Group = Group {
    name: "hosts",
    topic: PROGRESS,
};

/// The key prefix of cancellations. The key of a submission is the job id without a prefix.
pub(crate) const CANCELLATION_KEY_PREFIX: &str = "cancel.";

/// Returns the cell that a job or an executor belongs to. The hash is the same on every host.
pub fn cell_of(id: &str, cell_count: u32) -> u32 {
    (rapidhash_v3(id.as_bytes()) % u64::from(cell_count.max(1))) as u32
}

/// The number of submission partitions per cell. The store executes appends to one partition
/// serially, which limits throughput while the store is slow: at 43 times the usual 4 ms, one
/// partition accepts 5.8 appends per second.
const SUBMISSION_PARTITIONS_PER_CELL: u32 = 4;

/// Returns the submission partition with the given number.
pub fn submission_partition_at(number: u32) -> Partition {
    Partition {
        topic: SUBMISSIONS,
        number,
    }
}

/// Returns the partition that stores the submission and the cancellation of a job.
pub fn job_submission_partition(id: &str, cell_count: u32) -> Partition {
    let count = cell_count.max(1) * SUBMISSION_PARTITIONS_PER_CELL;
    let hash = rapidhash_v3(id.as_bytes());
    // `cell_of` uses the same hash modulo `cell_count`, so that each partition belongs to one cell.
    submission_partition_at((hash % u64::from(count)) as u32)
}

/// Returns the partitions that store the submissions of a cell.
pub(super) fn cell_submission_partitions(
    cell: u32,
    cell_count: u32,
) -> impl Iterator<Item = Partition> {
    let cell_count = cell_count.max(1);
    (0..SUBMISSION_PARTITIONS_PER_CELL)
        .map(move |index| submission_partition_at(cell + index * cell_count))
}

/// Returns the number of partitions that each topic needs for `cell_count` cells.
pub fn required_partition_count(cell_count: u32) -> u32 {
    cell_count.max(1) * SUBMISSION_PARTITIONS_PER_CELL
}

/// Returns the partition that stores the progress of a cell's jobs.
pub(super) fn progress_partition(cell: u32) -> Partition {
    Partition {
        topic: PROGRESS,
        number: cell,
    }
}

/// Returns the partition in which processes register themselves by host.
pub(super) fn host_registry_partition() -> Partition {
    Partition {
        topic: HOST_REGISTRY,
        number: 0,
    }
}

/// Returns the partition in which the owners of a cell publish themselves. Each cell has one of its
/// own, since the store fences each partition by a single sequence of epochs.
pub(super) fn owner_partition(cell: u32) -> Partition {
    Partition {
        topic: OWNERS,
        number: cell,
    }
}
