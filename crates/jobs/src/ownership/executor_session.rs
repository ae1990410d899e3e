use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use super::CellOwner;
use super::StartAttempts;
use super::StartStep;
use crate::fleet::Order;
use crate::fleet::OrderQueue;
use crate::model::ExecutorId;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::platform::ExecutorLink;
use crate::platform::OrderError;
use crate::platform::PaceOrder;

/// Concurrent orders to one executor that are no stops.
const ORDERS_IN_FLIGHT_MAX: usize = 4;
/// Concurrent stops to one executor.
const STOPS_IN_FLIGHT_MAX: usize = 4;
/// Sends of a stop without an answer. The next report repeats a stop that had no effect.
const STOP_SENDS_MAX: u32 = 3;
/// The pause between two sends of an order.
const RESEND_PAUSE: Duration = Duration::from_millis(30);
/// The longest wait for run ends to be stored before the next renewal is sent regardless.
const STORED_WAIT_MAX: Duration = Duration::from_millis(500);
/// The first pause after a failed renewal.
const RENEWAL_PAUSE: Duration = Duration::from_millis(100);
/// The shortest time between two renewals. An executor that holds no answer, for example because it
/// lists an end that can't be read and is never acknowledged, would be called without a pause.
const RENEWAL_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// The longest pause after failed renewals.
const RENEWAL_PAUSE_MAX: Duration = Duration::from_millis(800);

/// The session of a cell owner with one executor: renews its leases and sends its orders.
pub(super) struct ExecutorSession {
    owner: Arc<CellOwner>,
    id: ExecutorId,
    link: Arc<dyn ExecutorLink>,
    orders_in_flight: Arc<Semaphore>,
    stops_in_flight: Arc<Semaphore>,
}

impl ExecutorSession {
    pub(super) fn new(owner: Arc<CellOwner>, id: ExecutorId, link: Arc<dyn ExecutorLink>) -> Self {
        Self {
            owner,
            id,
            link,
            orders_in_flight: Arc::new(Semaphore::new(ORDERS_IN_FLIGHT_MAX)),
            stops_in_flight: Arc::new(Semaphore::new(STOPS_IN_FLIGHT_MAX)),
        }
    }

    pub(super) async fn run(self, orders: UnboundedReceiver<Order>) {
        let session = Arc::new(self);
        tokio::select! {
            () = session.renew_leases() => {}
            () = Arc::clone(&session).dispatch(orders) => {}
        }
    }

    /// Sends renewals until the cell state no longer tracks the executor.
    async fn renew_leases(&self) {
        let mut pause = RENEWAL_PAUSE;
        let mut has_failed = false;
        loop {
            // The right is checked under the lock: a later report would bring a later lease end.
            let renewal = self
                .owner
                .with_state(|state| state.renewal(&self.id, self.owner.may_renew()));
            let Some(mut renewal) = renewal else {
                return;
            };
            if has_failed {
                // The next call goes over a new connection, and its latency counts from now.
                renewal.hold = Duration::ZERO;
            }
            let sent_at = Instant::now();
            let hold = renewal.hold;
            let answer = self
                .owner
                .call_executor(hold, |timeout| self.link.renew(&renewal, timeout));
            let answer = answer.await;
            has_failed = answer.is_err();
            match answer {
                Ok(report) => {
                    pause = RENEWAL_PAUSE;
                    self.count("renew", "ok");
                    let now = Instant::now();
                    self.owner
                        .with_state(|state| state.handle_report(&self.id, report, sent_at, now));
                    self.owner.wake.notify_one();
                    self.wait_until_stored().await;
                    sleep_until(sent_at + RENEWAL_INTERVAL_MIN).await;
                }
                Err(OrderError::Fenced) => {
                    self.owner
                        .release("an executor has accepted a later fencing token");
                    return;
                }
                Err(error) => {
                    self.count("renew", "failed");
                    let now = Instant::now();
                    self.owner
                        .with_state(|state| state.handle_renewal_failure(&self.id, &error, now));
                    sleep(pause).await;
                    pause = (pause * 2).min(RENEWAL_PAUSE_MAX);
                }
            }
        }
    }

    /// Waits until the run ends of the last report are stored. Until then they can't be
    /// acknowledged, and the executor would answer a renewal immediately with the same run ends.
    async fn wait_until_stored(&self) {
        let deadline = Instant::now() + STORED_WAIT_MAX;
        loop {
            let stored = self.owner.batch_stored.notified();
            if !self
                .owner
                .with_state(|state| state.has_unstored_ends(&self.id))
            {
                return;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if timeout(remaining, stored).await.is_err() {
                return;
            }
        }
    }

    /// Sends the orders of the cell state; ends when the state drops the channel.
    async fn dispatch(self: Arc<Self>, mut orders: UnboundedReceiver<Order>) {
        let mut queue = OrderQueue::default();
        loop {
            let (order, permit) = tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(order) => {
                        queue.push(order);
                        continue;
                    }
                    None => return,
                },
                permit = permit_of(&self.stops_in_flight), if queue.has_stop() => {
                    (queue.pop_stop(), permit)
                }
                permit = permit_of(&self.orders_in_flight), if queue.has_other() => {
                    (queue.pop_other(), permit)
                }
            };
            let Some(order) = order else {
                continue;
            };
            let session = Arc::clone(&self);
            tokio::spawn(async move {
                session.send(order).await;
                drop(permit);
            });
        }
    }

    async fn send(&self, order: Order) {
        match order {
            Order::Start(task, run) => self.start(task, run).await,
            Order::Stop(task, run) => self.stop(task, run).await,
            Order::Pace(task, run, percent) => self.pace(task, run, percent).await,
        }
    }

    async fn start(&self, task: TaskId, run: RunNumber) {
        let mut attempts = StartAttempts::default();
        loop {
            if !self.owner.is_active() {
                return;
            }
            let may_have_run = attempts.may_have_run();
            let order = self.owner.with_current_view(|state, now| {
                let may_renew = self.owner.may_renew();
                let order = state.start_order(&self.id, task, run, may_renew, now);
                if order.is_none() {
                    state.abandon_start(&self.id, task, run, may_have_run, now);
                }
                order
            });
            let Some(order) = order else {
                return;
            };
            let answer = self.call(|timeout| self.link.start(&order, timeout)).await;
            self.count("start", outcome_label(&answer));
            match attempts.record(answer) {
                StartStep::Resend => sleep(RESEND_PAUSE).await,
                StartStep::Finish(Err(OrderError::Fenced)) => {
                    return self
                        .owner
                        .release("an executor has accepted a later fencing token");
                }
                StartStep::Finish(outcome) => {
                    return self.deliver_start_result(task, run, outcome);
                }
            }
        }
    }

    fn deliver_start_result(&self, task: TaskId, run: RunNumber, answer: Result<(), OrderError>) {
        let now = Instant::now();
        self.owner
            .with_state(|state| state.handle_start_result(&self.id, task, run, answer, now));
        self.owner.wake.notify_one();
    }

    async fn stop(&self, task: TaskId, run: RunNumber) {
        for _ in 0..STOP_SENDS_MAX {
            if !self.owner.is_active() {
                return;
            }
            let order = self.owner.with_state(|state| state.stop_order(task, run));
            let Some(order) = order else {
                return;
            };
            let answer = self.call(|timeout| self.link.stop(&order, timeout)).await;
            self.count("stop", outcome_label(&answer));
            if answer == Err(OrderError::Fenced) {
                self.owner
                    .release("an executor has accepted a later fencing token");
                return;
            }
            let is_answered = answer.is_ok();
            let now = Instant::now();
            self.owner
                .with_state(|state| state.handle_stop_result(&self.id, task, run, answer, now));
            if is_answered {
                return;
            }
            sleep(RESEND_PAUSE).await;
        }
    }

    async fn pace(&self, task: TaskId, run: RunNumber, percent: u32) {
        let order = PaceOrder {
            token: self.owner.epoch(),
            task,
            run,
            percent,
        };
        let answer = self.call(|timeout| self.link.pace(&order, timeout)).await;
        self.count("pace", outcome_label(&answer));
        if answer.is_err() {
            self.owner
                .with_state(|state| state.handle_pace_failure(&self.id, task, run, percent));
        }
    }

    /// Makes a call that the executor answers at once.
    async fn call<F>(&self, call: impl FnOnce(Duration) -> F) -> Result<(), OrderError>
    where
        F: Future<Output = Result<(), OrderError>>,
    {
        self.owner.call_executor(Duration::ZERO, call).await
    }

    fn count(&self, kind: &'static str, outcome: &'static str) {
        self.owner.context().metrics.count_order(kind, outcome);
    }
}

/// Waits for a permit. The semaphores of a session are never closed.
async fn permit_of(semaphore: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
    Arc::clone(semaphore).acquire_owned().await.ok()
}

fn outcome_label(answer: &Result<(), OrderError>) -> &'static str {
    match answer {
        Ok(()) => "ok",
        Err(OrderError::Refused(_)) => "refused",
        Err(OrderError::Fenced) => "fenced",
        Err(OrderError::OtherExecutor) => "other-executor",
        Err(OrderError::NotSent(_)) => "not-sent",
        Err(OrderError::NoListener(_)) => "no-listener",
        Err(OrderError::Unknown(_)) => "unknown",
    }
}
