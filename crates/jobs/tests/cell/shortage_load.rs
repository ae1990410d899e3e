use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::cell::JobLookup;
use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::ledger::decode;
use dotterelhook_jobs::model::JobId;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::JobState;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::ExecutorReport;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;
use dotterelhook_types::ids::Incarnation;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::fixture::CellHarness;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;

/// The interval between two rounds of reports and placements.
const ROUND: Duration = Duration::from_millis(50);

/// A job that a load submits.
pub(crate) struct PlannedJob {
    pub(crate) at_ms: u64,
    /// The part of the load that the job's result counts for.
    pub(crate) group: &'static str,
    pub(crate) queue: QueueConfig,
    pub(crate) domain: &'static str,
    pub(crate) steps: Vec<StepSpec>,
    /// The run time of each task in relation to its estimate.
    pub(crate) run_factor: f64,
}

/// The jobs of a group by result.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupResult {
    pub(crate) jobs: u32,
    pub(crate) in_time: u32,
    pub(crate) within_three_times: u32,
    pub(crate) completed: u32,
    pub(crate) refused: u32,
}

impl GroupResult {
    pub(crate) fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.within_three_times += other.within_three_times;
        self.completed += other.completed;
        self.refused += other.refused;
    }

    pub(crate) fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }

    pub(crate) fn within_three_times_share(&self) -> f64 {
        f64::from(self.within_three_times) / f64::from(self.jobs.max(1))
    }
}

struct Submitted {
    group: &'static str,
    submission: Arc<Submission>,
    run_factor: f64,
    at: Instant,
    objective: Duration,
    took: Option<Duration>,
}

struct FakeRun {
    task: TaskId,
    run: u32,
    ends_at: Instant,
}

/// A cell under a load of jobs, with executors that run each task for its actual run time.
pub(crate) struct ShortageLoad {
    harness: CellHarness,
    began: Instant,
    executors: Vec<String>,
    runs: BTreeMap<String, Vec<FakeRun>>,
    ends: BTreeMap<String, u64>,
    jobs: BTreeMap<JobId, Submitted>,
    refused: BTreeMap<&'static str, u32>,
    /// Whether submissions are refused for lack of capacity.
    refuses: bool,
    /// The factor by which the tasks of each slow executor take longer, and until when.
    slow: BTreeMap<String, (f64, Duration)>,
}

impl ShortageLoad {
    pub(crate) fn new(cores: &[u64], refuses: bool) -> Self {
        let mut harness = CellHarness::new();
        let mut executors = Vec::new();
        for (number, cores) in cores.iter().enumerate() {
            let id = format!("i-{number}");
            harness.list_executor(&id, cores * 1_000);
            executors.push(id);
        }
        Self {
            began: harness.now,
            harness,
            executors,
            runs: BTreeMap::new(),
            ends: BTreeMap::new(),
            jobs: BTreeMap::new(),
            refused: BTreeMap::new(),
            refuses,
            slow: BTreeMap::new(),
        }
    }

    /// Lets an executor run tasks more slowly by a factor, until a time after the beginning.
    pub(crate) fn with_slow_executor(
        mut self,
        number: usize,
        factor: f64,
        until: Duration,
    ) -> Self {
        let id = self.executors[number].clone();
        self.slow.insert(id, (factor, until));
        self
    }

    /// Plays a load until all its jobs are complete, at most for two minutes. Each group has a result.
    pub(crate) fn play(
        mut self,
        mut plan: Vec<PlannedJob>,
        takeover_at_ms: Option<u64>,
    ) -> BTreeMap<&'static str, GroupResult> {
        plan.sort_by_key(|planned| std::cmp::Reverse(planned.at_ms));
        let mut takeover_at_ms = takeover_at_ms;
        for _ in 0..2_400 {
            let now_ms = self.harness.now.duration_since(self.began).as_millis() as u64;
            while let Some(planned) = plan.pop_if(|planned| planned.at_ms <= now_ms) {
                self.submit(planned);
            }
            if takeover_at_ms.is_some_and(|at| at <= now_ms) {
                takeover_at_ms = None;
                self.replace_owner();
            }
            self.play_round();
            if plan.is_empty() && self.jobs.values().all(|job| job.took.is_some()) {
                break;
            }
        }
        let mut results: BTreeMap<&'static str, GroupResult> = BTreeMap::new();
        for job in self.jobs.values() {
            let result = results.entry(job.group).or_default();
            let is_within = |limit| u32::from(job.took.is_some_and(|took| took <= limit));
            result.jobs += 1;
            result.in_time += is_within(job.objective);
            result.within_three_times += is_within(job.objective * 3);
            result.completed += is_within(Duration::MAX);
        }
        for (group, count) in &self.refused {
            let result = results.entry(group).or_default();
            result.jobs += count;
            result.refused += count;
        }
        results
    }

    fn submit(&mut self, planned: PlannedJob) {
        let id = job(self.jobs.len() as u64 + 1);
        let path_ms = planned.steps.iter().map(|step| step.estimate_ms).sum();
        let path = Duration::from_millis(path_ms).mul_f64(planned.run_factor);
        let target = Duration::from_millis(planned.queue.target_latency_ms);
        let objective = path.mul_f64(planned.queue.stretch) + target;
        let submission = Arc::new(Submission {
            queue: planned.queue,
            spec: JobSpec {
                payload: "work".into(),
                steps: planned.steps,
                schedule: None,
            },
            accepted_unix_ms: 0,
            entry_domain: Some(planned.domain.into()),
        });
        let domain = submission.entry_domain.as_ref();
        let report = self.harness.cell.capacity_report(domain, self.harness.now);
        if self.refuses
            && report
                .refusal(&submission.spec, &submission.queue)
                .is_some()
        {
            *self.refused.entry(planned.group).or_default() += 1;
            return;
        }
        self.harness
            .cell
            .accept(id, Arc::clone(&submission), self.harness.now);
        let submitted = Submitted {
            group: planned.group,
            submission,
            run_factor: planned.run_factor,
            at: self.harness.now,
            objective,
            took: None,
        };
        self.jobs.insert(id, submitted);
    }

    /// Lets a new owner take over from the stored progress and the submissions.
    fn replace_owner(&mut self) {
        self.harness.commit();
        let open = self.jobs.iter().filter(|(_, job)| job.took.is_none());
        let submissions: Vec<(JobId, Arc<Submission>)> = open
            .map(|(id, job)| (*id, Arc::clone(&job.submission)))
            .collect();
        let former = &self.harness;
        let mut next = former.take_over(&[]);
        if let Some(record) = former.learned.get("learned-run-times") {
            next.cell
                .restore_run_times(decode(record).expect("run times"));
        }
        if let Some(record) = former.learned.get("learned-shares") {
            let shares = decode(record).expect("shares");
            next.cell.restore_shares(shares, next.now);
        }
        for (id, submission) in submissions {
            let progress = former.stored.get(&id).cloned().unwrap_or_default();
            let accepted_at = self.jobs[&id].at;
            next.cell
                .restore(id, submission, progress, accepted_at, next.now);
        }
        for id in &self.executors {
            let former = former.cell.executor(&id.as_str().into());
            let capacity = former.expect("a listed executor").entry.capacity;
            next.list_executor(id, capacity.cpu_milli.0);
        }
        self.harness = next;
    }

    fn play_round(&mut self) {
        self.harness.advance(ROUND);
        let now = self.harness.now;
        for id in &self.executors {
            let runs = self.runs.entry(id.clone()).or_default();
            let last_end = self.ends.entry(id.clone()).or_default();
            let (done, running_on): (Vec<FakeRun>, Vec<FakeRun>) =
                runs.drain(..).partition(|run| run.ends_at <= now);
            *runs = running_on;
            let ended: Vec<EndedRun> = done
                .iter()
                .map(|run| {
                    *last_end += 1;
                    ended(*last_end, run.task, run.run, RunEnd::Done)
                })
                .collect();
            let listed: Vec<RunningRun> =
                runs.iter().map(|run| running(run.task, run.run)).collect();
            let report = ExecutorReport {
                clock_ms: 10_000 + now.duration_since(self.began).as_millis() as u64,
                incarnation: Incarnation(1),
                running: listed,
                ended,
                may_have_more_ends: false,
            };
            let cell = &mut self.harness.cell;
            cell.handle_report(&id.as_str().into(), report, now, now);
        }
        self.harness.commit();
        for id in self.executors.clone() {
            self.accept_starts(&id);
        }
        for (id, submitted) in &mut self.jobs {
            let state = self.harness.cell.lookup_job_state(*id);
            if submitted.took.is_none() && state == JobLookup::Known(JobState::Completed) {
                submitted.took = Some(now.duration_since(submitted.at));
            }
        }
    }

    fn accept_starts(&mut self, id: &str) {
        let now = self.harness.now;
        for order in self.harness.take_orders(id) {
            let Order::Start(task, run) = order else {
                continue;
            };
            let cell = &mut self.harness.cell;
            cell.handle_start_result(&id.into(), task, run, Ok(()), now);
            let submitted = &self.jobs[&task.job];
            let step = &submitted.submission.spec.steps[task.step as usize];
            let slowdown = self.slow.get(id).map_or(1.0, |(factor, until)| {
                match now.duration_since(self.began) < *until {
                    true => *factor,
                    false => 1.0,
                }
            });
            let run_time =
                Duration::from_millis(step.estimate_ms).mul_f64(submitted.run_factor * slowdown);
            let runs = self.runs.entry(id.into()).or_default();
            runs.push(FakeRun {
                task,
                run: run.0,
                ends_at: now + run_time,
            });
        }
    }
}

/// Returns arrival times at the given rate, which varies as that of a Poisson process.
pub(crate) fn arrivals(
    random: &mut SmallRng,
    from_ms: u64,
    until_ms: u64,
    per_second: f64,
) -> Vec<u64> {
    use rand::RngExt;
    let mut times = Vec::new();
    let mut at_ms = from_ms as f64;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at_ms -= uniform.ln() * 1_000.0 / per_second;
        if at_ms >= until_ms as f64 {
            return times;
        }
        times.push(at_ms as u64);
    }
}
