use std::collections::BTreeMap;

use tokio::time::Instant;

use super::CellState;
use crate::model::QueueName;
use crate::observe::Decision;
use crate::observe::decided;
use crate::policy::RunTimeRatio;

/// The waiting tasks of a queue, by what they can still reach.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueOrder {
    /// The number of tasks whose jobs can be in time.
    pub in_time: u64,
    /// The number of tasks whose jobs are late.
    pub late: u64,
    /// The number of tasks whose jobs have no value any more.
    pub worthless: u64,
    /// The number of tasks that wait longer because their part of the queue exceeds its usual share.
    pub in_excess: u64,
    /// How the run times of the queue relate to the estimates.
    pub run_time: RunTimeRatio,
}

impl CellState {
    /// Returns the waiting tasks of each queue that has any.
    pub fn queue_orders(&self, now: Instant) -> BTreeMap<QueueName, QueueOrder> {
        let mut orders: BTreeMap<QueueName, QueueOrder> = BTreeMap::new();
        for waiting in self.waiting_steps(now) {
            let Some(job) = self.ledger.job(waiting.job) else {
                continue;
            };
            let name = &job.submission().queue.name;
            let order = orders.entry(name.clone()).or_insert_with(|| QueueOrder {
                run_time: self.run_times.ratio(name),
                ..QueueOrder::default()
            });
            let tasks = u64::from(job.waiting_count(waiting.step_ref));
            match waiting.rank.class {
                0 => order.in_time += tasks,
                1 => order.late += tasks,
                _ => order.worthless += tasks,
            }
            if waiting.rank.excess > 0 {
                order.in_excess += tasks;
            }
        }
        orders
    }

    /// Logs the waiting tasks of each queue that has any as `queue-order` events.
    pub fn log_queue_orders(&self, now: Instant) {
        for (queue, order) in self.queue_orders(now) {
            decided!(
                Decision::QueueOrder,
                queue: queue.as_str(),
                in_time: order.in_time,
                late: order.late,
                worthless: order.worthless,
                in_excess: order.in_excess,
                run_time_ratio: order.run_time.typical,
                run_time_spread: order.run_time.spread,
            );
        }
    }
}
