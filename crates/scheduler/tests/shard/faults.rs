//! Random fault schedules: kills, freezes, cut links, late and duplicate messages, evacuations and
//! runs that leave during them.

use dotterelhook_borders::log::LogFault;
use dotterelhook_types::ids::RunId;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use tokio::runtime::Runtime;

use crate::world::HOSTS;
use crate::world::LinkFault;
use crate::world::WORKERS;
use crate::world::World;
use crate::world::halved_lease_times;
use crate::world::job;
use crate::world::safe_lease_times;

const RUNS_MAX: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        tasks: u32,
        run_time_ms: u64,
        cpu_milli: u64,
    },
    Repeat(usize),
    Cancel(usize),
    Kill(usize),
    Start(usize),
    Stop(usize),
    Freeze(usize),
    Thaw(usize),
    SetLogCut(usize, bool),
    Suspect(usize),
    Trust(usize),
    SetLogFault(LogFault),
    SetLinkFault(usize, usize, LinkFault),
    SetWorkerFrozen(usize, bool),
    RestartWorker(usize),
    SetFailsAll(usize, bool),
    SetLeaving(usize, bool),
    SetEvacuated(bool),
    SetConfigCut(usize, bool),
    SetSlowReads(usize, bool),
    SetRoom(u64),
    SetDeliveryLoss(bool),
    Advance(u64),
}

/// Reference model: the tasks, run time in ms and CPU milli of each submitted run.
#[derive(Clone, Debug, Default)]
struct Plan {
    runs: Vec<(u32, u64, u64)>,
}

fn link_fault() -> impl Strategy<Value = LinkFault> {
    prop_oneof![
        2 => Just(LinkFault::None),
        2 => Just(LinkFault::Cut),
        1 => Just(LinkFault::LoseAnswers),
        2 => (100_u64..9_000).prop_map(LinkFault::Delay),
        1 => (100_u64..9_000).prop_map(LinkFault::Repeat),
    ]
}

fn log_fault() -> impl Strategy<Value = LogFault> {
    prop_oneof![
        2 => Just(LogFault::None),
        1 => Just(LogFault::Down),
        1 => Just(LogFault::LoseAnswers)
    ]
}

impl ReferenceStateMachine for Plan {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(plan: &Self) -> BoxedStrategy<Step> {
        let run = 0..plan.runs.len().max(1);
        let (h, w) = (|| 0..HOSTS, || 0..WORKERS);
        let submit = (1_u32..6, 200_u64..9_000, 500_u64..3_000).prop_map(
            |(tasks, run_time_ms, cpu_milli)| Step::Submit {
                tasks,
                run_time_ms,
                cpu_milli,
            },
        );
        prop_oneof![
            3 => submit,
            1 => run.clone().prop_map(Step::Repeat),
            1 => run.prop_map(Step::Cancel),
            2 => h().prop_map(Step::Kill),
            2 => h().prop_map(Step::Start),
            1 => h().prop_map(Step::Stop),
            2 => h().prop_map(Step::Freeze),
            2 => h().prop_map(Step::Thaw),
            1 => (h(), any::<bool>()).prop_map(|(h, on)| Step::SetLogCut(h, on)),
            2 => h().prop_map(Step::Suspect),
            1 => h().prop_map(Step::Trust),
            2 => log_fault().prop_map(Step::SetLogFault),
            5 => (h(), w(), link_fault()).prop_map(|(h, w, f)| Step::SetLinkFault(h, w, f)),
            2 => (w(), any::<bool>()).prop_map(|(w, on)| Step::SetWorkerFrozen(w, on)),
            1 => w().prop_map(Step::RestartWorker),
            1 => (w(), any::<bool>()).prop_map(|(w, on)| Step::SetFailsAll(w, on)),
            1 => (w(), any::<bool>()).prop_map(|(w, on)| Step::SetLeaving(w, on)),
            2 => any::<bool>().prop_map(Step::SetEvacuated),
            1 => (h(), any::<bool>()).prop_map(|(h, on)| Step::SetConfigCut(h, on)),
            1 => (h(), any::<bool>()).prop_map(|(h, on)| Step::SetSlowReads(h, on)),
            3 => (0_u64..8).prop_map(Step::SetRoom),
            1 => any::<bool>().prop_map(Step::SetDeliveryLoss),
            12 => (200_u64..6_000).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(mut plan: Self, step: &Step) -> Self {
        if let Step::Submit {
            tasks,
            run_time_ms,
            cpu_milli,
        } = step
        {
            plan.runs.push((*tasks, *run_time_ms, *cpu_milli));
        }
        plan
    }

    fn preconditions(plan: &Self, step: &Step) -> bool {
        match step {
            Step::Submit { .. } => plan.runs.len() < RUNS_MAX,
            Step::Repeat(run) | Step::Cancel(run) => *run < plan.runs.len(),
            _ => true,
        }
    }
}

fn run_id(index: usize) -> RunId {
    format!("run-{index}").parse().expect("a name")
}

/// The simulated domain, with a runtime whose paused clock advances only by sleeps.
struct Domain {
    runtime: Runtime,
    world: World,
}

fn domain(times: dotterelhook_scheduler::shard::LeaseTimes) -> Domain {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let world = runtime.block_on(async { World::new(times) });
    Domain { runtime, world }
}

impl Domain {
    fn step(&mut self, plan: &Plan, step: Step) {
        let Self { runtime, world } = self;
        runtime.block_on(apply(world, plan, step));
    }

    fn finish(mut self) {
        let Self { runtime, world } = &mut self;
        runtime.block_on(async {
            world.heal().await;
            world.check_runs().await;
            world.check_checkpoints().await;
        });
    }
}

async fn apply(world: &mut World, plan: &Plan, step: Step) {
    match step {
        Step::Submit {
            tasks,
            run_time_ms,
            cpu_milli,
        } => {
            let run = run_id(plan.runs.len() - 1);
            world.submit(&run, &job(tasks, run_time_ms, cpu_milli));
        }
        Step::Repeat(run) => {
            let (tasks, run_time_ms, cpu_milli) = plan.runs[run];
            world.submit(&run_id(run), &job(tasks, run_time_ms, cpu_milli));
        }
        Step::Cancel(run) => world.cancel(&run_id(run)),
        Step::Kill(host) => world.kill(host),
        Step::Start(host) => world.start(host),
        Step::Stop(host) => {
            if let Some(process) = world.process(host) {
                process.thaw();
            }
            world.stop(host).await;
        }
        Step::Freeze(host) => world.process(host).into_iter().for_each(|p| p.freeze()),
        Step::Thaw(host) => world.process(host).into_iter().for_each(|p| p.thaw()),
        Step::SetLogCut(host, on) => world
            .process(host)
            .into_iter()
            .for_each(|p| p.set_log_cut(on)),
        Step::Suspect(host) => world.views.set_live(host, None),
        Step::Trust(host) => world.views.set_live(host, world.incarnation(host)),
        Step::SetLogFault(fault) => world.log.set_fault(fault),
        Step::SetLinkFault(host, worker, fault) => world.fleet.set_link_fault(host, worker, fault),
        Step::SetWorkerFrozen(worker, on) => world.fleet.freeze(worker, on),
        Step::RestartWorker(worker) => world.fleet.restart(worker),
        Step::SetFailsAll(worker, on) => world.fleet.set_fails_all(worker, on),
        Step::SetLeaving(worker, on) => world.views.set_leaving(worker, on),
        Step::SetEvacuated(on) => world.set_evacuated(on),
        Step::SetConfigCut(host, on) => world
            .process(host)
            .into_iter()
            .for_each(|p| p.set_config_cut(on)),
        Step::SetSlowReads(host, on) => world
            .process(host)
            .into_iter()
            .for_each(|p| p.set_slow_reads(on)),
        Step::SetRoom(room) => world.domain.set_room(room),
        Step::SetDeliveryLoss(on) => world.domain.set_loses_answers(on),
        Step::Advance(ms) => world.advance(ms).await,
    }
    world.fleet.check();
}

macro_rules! test_machine {
    ($name:ident, $times:path) => {
        struct $name;

        impl StateMachineTest for $name {
            type SystemUnderTest = Domain;
            type Reference = Plan;

            fn init_test(_: &Plan) -> Domain {
                domain($times())
            }

            fn apply(mut domain: Domain, plan: &Plan, step: Step) -> Domain {
                domain.step(plan, step);
                domain
            }

            fn teardown(domain: Domain, _: Plan) {
                domain.finish();
            }
        }
    };
}

test_machine!(SafeLeases, safe_lease_times);
test_machine!(HalvedWait, halved_lease_times);

fn config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(64, 6))]

    #[test]
    fn faults_break_no_promise(sequential 20..50 => SafeLeases);
}

/// Checks that the simulation detects a violation of the leases: schedulers that wait half as long
/// as they must start a task again while its former attempt still runs.
#[test]
fn half_the_wait_is_caught() {
    let mut runner = TestRunner::new(Config {
        max_shrink_iters: 0,
        ..config(400, 6)
    });

    let result = runner.run(&Plan::sequential_strategy(20..50), |(plan, steps, _)| {
        HalvedWait::test_sequential(config(1, 6), plan, steps, None);
        Ok(())
    });

    let cause = result.expect_err("the fault was not found").to_string();
    assert!(cause.contains("two places at once"), "{cause}");
}
