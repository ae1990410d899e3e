//! Policies, each against the load pattern that it answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::config::DeploymentConfig;
use dotterelhook_jobs::config::QueueRoute;
use dotterelhook_jobs::fleet::Executor;
use dotterelhook_jobs::fleet::RunPhase;
use dotterelhook_jobs::fleet::RunView;
use dotterelhook_jobs::ledger::Job;
use dotterelhook_jobs::ledger::JobProgress;
use dotterelhook_jobs::ledger::StepRef;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::ExecutorPhase;
use dotterelhook_jobs::model::ImageName;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::QueueTerms;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::policy::DeadlineOrder;
use dotterelhook_jobs::policy::FillerSample;
use dotterelhook_jobs::policy::Interference;
use dotterelhook_jobs::policy::LearnedTails;
use dotterelhook_jobs::policy::LeftoverPlacement;
use dotterelhook_jobs::policy::PacedFillers;
use dotterelhook_jobs::policy::Placement;
use dotterelhook_jobs::policy::PlacementRequest;
use dotterelhook_jobs::policy::QueueOrder;
use dotterelhook_jobs::policy::Rank;
use dotterelhook_jobs::policy::TailRatio;
use dotterelhook_jobs::policy::TailSample;
use dotterelhook_jobs::policy::TailStep;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::Instant;

/// The longest time over a target beside working fillers that the platform bears.
const HARM_MAX_MS: u64 = 4_000;

fn terms(priority: u32) -> QueueTerms {
    QueueTerms {
        name: "plans".into(),
        service: "desk".into(),
        priority,
        attempts_max: 3,
        stretch: 2.0,
        target_latency_ms: 1_000,
        advice: None,
    }
}

fn step(estimate_ms: u64) -> StepSpec {
    StepSpec {
        count: 1,
        need: Resources::new(2_000, 1_000),
        estimate_ms,
        ..StepSpec::default()
    }
}

fn rank(steps: Vec<StepSpec>, age: Duration, priority: u32) -> Rank {
    let now = Instant::now() + Duration::from_secs(1_000);
    let spec = JobSpec {
        payload: "work".into(),
        steps,
        schedule: None,
    };
    let submission = Submission {
        terms: terms(priority),
        spec,
        accepted_unix_ms: 0,
    };
    let id = "0123456789abcdef".parse().expect("an id");
    let job = Job::new(id, Arc::new(submission), JobProgress::default(), now - age);
    let at = StepRef {
        occurrence: 0,
        step: 0,
    };
    DeadlineOrder.rank(&job, at, &terms(priority), now)
}

fn executor(id: &str) -> Executor {
    let (orders, _) = unbounded_channel();
    let entry = ExecutorEntry {
        id: id.into(),
        incarnation: Some(Incarnation(1)),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "laguna".into(),
        labels: vec!["a".into(), "r1-3".into()],
        capacity: Resources::new(32_000, 128_000),
        phase: ExecutorPhase::Ready,
    };
    Executor::new(entry, orders)
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: "0123456789abcdef".parse().expect("an id"),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn serving(image: &str) -> StepSpec {
    StepSpec {
        need: Resources::new(6_000, 13_000),
        is_long_running: true,
        image: Some(image.into()),
        tail_target_ms: Some(18),
        ..step(1_000)
    }
}

fn filler(image: &str) -> StepSpec {
    StepSpec {
        need: Resources::new(3_200, 6_000),
        is_filler: true,
        image: Some(image.into()),
        ..step(2_700)
    }
}

fn add(executor: &mut Executor, index: u32, step: &StepSpec) {
    let view = RunView::new(RunNumber(1), step, RunPhase::Proposed, Instant::now());
    executor.add_run(task(index), view);
}

fn score(step: &StepSpec, pressures: &[(ImageName, f64)], executor: &Executor) -> Option<f64> {
    let request = PlacementRequest {
        step,
        pressures,
        may_disturb: false,
    };
    LeftoverPlacement.score(&request, executor)
}

#[test]
fn burst_of_serving_jobs_waits_behind_quick_ones_until_its_target_is_near() {
    let quick = rank(vec![step(100)], Duration::from_millis(300), 0);
    let fresh = rank(vec![serving("s")], Duration::ZERO, 0);
    let waiting = rank(vec![serving("s")], Duration::from_millis(900), 0);

    assert!(quick < fresh);
    assert!(waiting < quick);
}

#[test]
fn burst_serves_what_can_be_in_time_before_what_cannot() {
    let fresh = rank(vec![step(1_000)], Duration::from_millis(100), 2);
    let urgent = rank(vec![step(1_000)], Duration::from_millis(1_900), 2);
    let late = rank(vec![step(1_000)], Duration::from_millis(4_000), 2);
    let hopeless = rank(vec![step(1_000)], Duration::from_secs(60), 0);

    assert!(urgent < fresh, "less slack goes first");
    assert!(fresh < late, "late work waits for what can be in time");
    assert!(
        late < hopeless,
        "priority does not revive what is past saving"
    );
}

#[test]
fn burst_keeps_the_order_of_priorities_among_what_can_be_in_time() {
    let first = rank(vec![step(1_000)], Duration::from_millis(100), 0);
    let second = rank(vec![step(1_000)], Duration::from_millis(1_900), 2);

    assert!(first < second);
}

#[test]
fn wide_step_counts_its_remaining_chain() {
    let chain = vec![
        step(1_000),
        StepSpec {
            after: vec![0],
            ..step(3_000)
        },
    ];
    let short = rank(vec![step(1_000)], Duration::from_millis(500), 2);
    let long = rank(chain, Duration::from_millis(500), 2);

    assert_eq!(short.slack_ms, 2_000 + 1_000 - 500 - 1_000);
    assert_eq!(long.slack_ms, 8_000 + 1_000 - 500 - 4_000);
}

#[test]
fn interference_fillers_keep_away_from_images_that_they_disturb() {
    let mut disturbed = executor("i-1");
    add(&mut disturbed, 0, &serving("web"));
    let mut other = executor("i-2");
    add(&mut other, 0, &serving("mail"));
    let pressures = [(ImageName::from("web"), 9.0)];

    let filler = filler("nesting");

    assert_eq!(score(&filler, &pressures, &disturbed), None);
    assert!(score(&filler, &pressures, &other).is_some());
}

#[test]
fn interference_a_filler_that_waited_may_disturb_in_the_last_place() {
    let mut disturbed = executor("i-1");
    add(&mut disturbed, 0, &serving("web"));
    let free = executor("i-2");
    let pressures = [(ImageName::from("web"), 9.0)];
    let filler = filler("nesting");
    let request = PlacementRequest {
        step: &filler,
        pressures: &pressures,
        may_disturb: true,
    };

    let beside = LeftoverPlacement.score(&request, &disturbed);
    let alone = LeftoverPlacement.score(&request, &free);

    assert!(beside.is_some() && beside < alone);
}

#[test]
fn interference_serving_tasks_of_one_image_are_packed_together() {
    let mut same = executor("i-1");
    add(&mut same, 0, &serving("web"));
    let mut other = executor("i-2");
    add(&mut other, 0, &serving("mail"));
    add(&mut other, 1, &serving("mail"));
    let empty = executor("i-3");
    let wanted = serving("web");

    let scores = [&same, &empty, &other].map(|executor| score(&wanted, &[], executor));

    assert!(scores[0] > scores[1], "packing goes before spreading");
    assert!(
        scores[1] > scores[2],
        "an empty executor goes before a mixed one"
    );
}

#[test]
fn leftover_a_filler_needs_most_of_its_processors_to_be_left() {
    let mut full = executor("i-1");
    for index in 0..9 {
        add(&mut full, index, &filler("nesting"));
    }

    let score = score(&filler("nesting"), &[], &full);

    assert!(score.is_some(), "3.2 of 32 cores are left");
    add(&mut full, 9, &filler("nesting"));
    assert_eq!(self::score(&filler("nesting"), &[], &full), None);
}

#[test]
fn requirements_of_a_step_bind() {
    let on_label = |label: &str| StepSpec {
        required_label: Some(label.into()),
        ..step(1_000)
    };
    let near = StepSpec {
        preferred_rack: Some("r1-3".into()),
        ..step(1_000)
    };
    let too_large = StepSpec {
        need: Resources::new(33_000, 1_000),
        ..step(1_000)
    };
    let executor = executor("i-1");

    assert!(score(&on_label("a"), &[], &executor).is_some());
    assert_eq!(score(&on_label("gpu"), &[], &executor), None);
    assert_eq!(score(&too_large, &[], &executor), None);
    assert!(score(&near, &[], &executor) > score(&step(1_000), &[], &executor));
}

/// An executor whose tails follow a hidden pressure that comes in bursts.
struct TailModel {
    random: SmallRng,
    hidden: HashMap<&'static str, f64>,
    paces: Vec<(&'static str, u32)>,
    burst_until_ms: u64,
}

impl TailModel {
    fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            hidden: HashMap::from([("heavy", 9.0), ("light", 0.3)]),
            paces: vec![
                ("heavy", 100),
                ("light", 100),
                ("light", 100),
                ("heavy", 100),
            ],
            burst_until_ms: 0,
        }
    }

    fn ratio(&mut self, now_ms: u64) -> f64 {
        if self.random.random_range(0..10) == 0 {
            self.burst_until_ms = now_ms + 3_000;
        }
        let burst = if now_ms < self.burst_until_ms {
            1.0
        } else {
            0.2
        };
        let pressure: f64 = self
            .paces
            .iter()
            .map(|(image, pace)| self.hidden[image] * 0.1 * f64::from(*pace) / 100.0)
            .sum();
        let noise: f64 = self.random.random_range(-0.08..0.08);
        0.45 + burst * pressure + noise
    }

    fn sample(&self, ratio: f64, over_for: Duration) -> TailSample {
        let fillers = self
            .paces
            .iter()
            .zip(0..)
            .map(|((image, pace), index)| FillerSample {
                task: task(index),
                run: RunNumber(1),
                image: Some((*image).into()),
                cpu_share: 0.1,
                pace_percent: *pace,
                can_move: false,
            });
        TailSample {
            tails: vec![TailRatio {
                image: "web".into(),
                ratio,
            }],
            over_for,
            fillers: fillers.collect(),
        }
    }

    fn take(&mut self, step: TailStep) {
        if let TailStep::Pace(task, _, percent) = step {
            self.paces[task.index as usize].1 = percent;
        }
    }
}

/// Stops every filler while a tail is over its target, and lets all go on below it.
struct StopAll;

impl Interference for StopAll {
    fn learn(&mut self, _: &TailSample, _: u64) {}

    fn learned(&self, _: u64) -> LearnedTails {
        LearnedTails::default()
    }

    fn restore(&mut self, _: LearnedTails, _: u64) {}

    fn steps(&self, sample: &TailSample, _: u64) -> Vec<TailStep> {
        let percent = if sample.worst_ratio() > 1.0 { 0 } else { 100 };
        let fillers = sample.fillers.iter();
        fillers
            .map(|filler| TailStep::Pace(filler.task, filler.run, percent))
            .collect()
    }

    fn pressures(&self, _: &ImageName, _: u64) -> Vec<(ImageName, f64)> {
        Vec::new()
    }
}

/// What a control let happen in a minute.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// The longest time over the target beside working fillers.
    longest_harm_ms: u64,
    /// The time over the target in all.
    over_ms: u64,
    /// The pace of a filler that disturbs nothing, summed over samples.
    light_work: u32,
}

fn play(control: &mut dyn Interference, seed: u64) -> Outcome {
    let mut model = TailModel::new(seed);
    let mut over_since_ms = None;
    let mut outcome = Outcome::default();
    for now_ms in (0..60_000_u64).step_by(500) {
        let ratio = model.ratio(now_ms);
        if ratio > 1.0 {
            over_since_ms.get_or_insert(now_ms);
            outcome.over_ms += 500;
        } else {
            over_since_ms = None;
        }
        let over_ms = over_since_ms.map_or(0, |since| now_ms - since);
        if model.paces.iter().any(|(_, pace)| *pace > 0) {
            outcome.longest_harm_ms = outcome.longest_harm_ms.max(over_ms);
        }
        let sample = model.sample(ratio, Duration::from_millis(over_ms));
        control.learn(&sample, now_ms);
        for step in control.steps(&sample, now_ms) {
            model.take(step);
        }
        outcome.light_work += model.paces[1].1;
    }
    outcome
}

#[test]
fn interference_swing_is_ended_within_the_time_that_the_platform_bears() {
    for seed in 0..50 {
        let outcome = play(&mut PacedFillers::default(), seed);

        assert!(
            outcome.longest_harm_ms < HARM_MAX_MS,
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn interference_swing_costs_less_than_stopping_every_filler() {
    let outcomes: Vec<(Outcome, Outcome)> = (0..50)
        .map(|seed| {
            (
                play(&mut PacedFillers::default(), seed),
                play(&mut StopAll, seed),
            )
        })
        .collect();

    let light_work = outcomes.iter().fold((0, 0), |sum, (paced, stopped)| {
        (sum.0 + paced.light_work, sum.1 + stopped.light_work)
    });
    let over_ms = outcomes.iter().fold((0, 0), |sum, (paced, stopped)| {
        (sum.0 + paced.over_ms, sum.1 + stopped.over_ms)
    });
    assert!(over_ms.0 < over_ms.1, "time over the target {over_ms:?} ms");
    assert!(
        light_work.0 > light_work.1,
        "work that disturbs nothing {light_work:?}"
    );
}

#[test]
fn what_was_learned_survives_a_takeover() {
    let mut former = PacedFillers::default();
    let model = TailModel::new(1);
    for now_ms in (0..20_000_u64).step_by(500) {
        former.learn(&model.sample(2.0, Duration::ZERO), now_ms);
    }
    let quiet = TailSample {
        fillers: Vec::new(),
        ..model.sample(0.45, Duration::ZERO)
    };
    former.learn(&quiet, 20_000);
    let mut next = PacedFillers::default();

    next.restore(former.learned(20_000), 0);

    let heavy = ImageName::from("heavy");
    assert_eq!(next.pressures(&heavy, 0), former.pressures(&heavy, 20_000));
    assert!(!next.pressures(&heavy, 0).is_empty());
}

#[test]
fn the_longest_prefix_of_a_queue_wins_and_versions_never_go_back() {
    let route = |prefix: &str, priority| QueueRoute {
        host: "a.example".into(),
        path_prefix: prefix.into(),
        timeout: Duration::from_secs(3),
        terms: Arc::new(terms(priority)),
    };
    let routes = vec![route("/a/", 0), route("/a/b/", 1)];
    let config = |version| DeploymentConfig::new(version, 1_000, routes.clone(), HashMap::new());
    let board = dotterelhook_jobs::config::ConfigBoard::default();

    let taken = [3, 2, 3, 4].map(|version| board.offer(config(version)));

    let current = board.current().expect("a configuration");
    let (found, rest) = current.route("a.example", "/a/b/c").expect("a route");
    assert_eq!(taken, [true, false, false, true]);
    assert_eq!((found.terms.priority, rest), (1, "c"));
}
