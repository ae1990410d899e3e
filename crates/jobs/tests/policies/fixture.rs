use std::time::Duration;

use dotterelhook_jobs::fleet::Executor;
use dotterelhook_jobs::fleet::RunPhase;
use dotterelhook_jobs::fleet::RunView;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::ExecutorPhase;
use dotterelhook_jobs::model::ImageName;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::policy::InterferenceAwarePlacement;
use dotterelhook_jobs::policy::PlacementPolicy;
use dotterelhook_jobs::policy::PlacementRequest;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::Instant;

pub(crate) fn queue_config(priority: u32) -> QueueConfig {
    QueueConfig {
        name: "plans".into(),
        service: "desk".into(),
        priority,
        attempts_max: 3,
        stretch: 2.0,
        target_latency_ms: 1_000,
        advice: None,
    }
}

pub(crate) fn step(estimate_ms: u64) -> StepSpec {
    StepSpec {
        count: 1,
        need: Resources::new(2_000, 1_000),
        estimate_ms,
        ..StepSpec::default()
    }
}

pub(crate) fn executor(id: &str) -> Executor {
    let (orders, _) = unbounded_channel();
    let entry = ExecutorEntry {
        id: id.into(),
        incarnation: Some(Incarnation(1)),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        failure_domain: "laguna".into(),
        labels: vec!["a".into(), "r1-3".into()],
        capacity: Resources::new(32_000, 128_000),
        phase: ExecutorPhase::Ready,
        cold_left: Duration::ZERO,
    };
    Executor::new(entry, orders)
}

pub(crate) fn task(index: u32) -> TaskId {
    TaskId {
        job: "0123456789abcdef".parse().expect("an id"),
        occurrence: 0,
        step: 0,
        index,
    }
}

pub(crate) fn serving(image: &str) -> StepSpec {
    StepSpec {
        need: Resources::new(6_000, 13_000),
        is_long_running: true,
        image: Some(image.into()),
        tail_target_ms: Some(18),
        ..step(1_000)
    }
}

pub(crate) fn filler(image: &str) -> StepSpec {
    StepSpec {
        need: Resources::new(3_200, 6_000),
        is_filler: true,
        image: Some(image.into()),
        ..step(2_700)
    }
}

pub(crate) fn add_run(executor: &mut Executor, index: u32, step: &StepSpec) {
    let view = RunView::new(RunNumber(1), step, RunPhase::Proposed, Instant::now());
    executor.add_run(task(index), view);
}

pub(crate) fn score(
    step: &StepSpec,
    pressures: &[(ImageName, f64)],
    executor: &Executor,
) -> Option<f64> {
    let request = PlacementRequest {
        step,
        pressures,
        dissimilarities: &[],
        may_interfere: false,
        may_be_interrupted: false,
    };
    InterferenceAwarePlacement.score(&request, executor)
}
