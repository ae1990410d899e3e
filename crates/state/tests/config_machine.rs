//! Processes that have applied the same records must hold the same state, regardless of duplicate,
//! malformed or re-read records and restarts from snapshots.

mod fixture;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::Refusal;
use dotterelhook_state::config::SnapshotAssembler;
use dotterelhook_state::config::split_snapshot;
use dotterelhook_types::ids::Offset;
use fixture::Change;
use fixture::change;
use fixture::job;
use fixture::quota;
use fixture::service;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const PROCESSES: usize = 3;
const PATHS: [&str; 6] = [
    "one/services/a",
    "one/jobs/b",
    "one/quota",
    "two/services/a",
    "two/services/c",
    "two/jobs/b",
];

/// One action of an operator, the log or a process.
#[derive(Clone, Debug)]
enum Step {
    /// An operator that has read up to some offset publishes a change.
    Publish {
        path: usize,
        read_to: usize,
        size: u64,
        is_removal: bool,
        is_other_team: bool,
    },
    /// The log contains a record twice: a delayed duplicate, or a retry after a lost answer.
    Duplicate(usize),
    /// The log contains a record that is not a publication.
    Malformed,
    /// A process reads further records.
    Read { process: usize, records: usize },
    /// A process restarts from another process's snapshot.
    Restart {
        process: usize,
        from: usize,
        order: u64,
    },
    /// A process restarts and replays the log from the first record.
    Replay(usize),
}

/// The log, and the state of an uninterrupted process after each record.
#[derive(Clone, Debug)]
struct Reference {
    log: Vec<String>,
    states: Vec<ConfigState>,
    results: Vec<Result<(), Refusal>>,
}

impl Reference {
    fn append(&mut self, payload: String) {
        let mut state = self.states.last().cloned().unwrap_or_default();
        let offset = Offset(self.log.len() as u64);
        self.results.push(state.apply(offset, &payload));
        self.states.push(state);
        self.log.push(payload);
    }

    fn publish(&mut self, change: Change) {
        self.append(change.payload());
    }

    fn build_change(&self, step: &Step) -> Option<Change> {
        let Step::Publish {
            path,
            read_to,
            size,
            is_removal,
            is_other_team,
        } = step
        else {
            return None;
        };
        let path = PATHS[*path];
        let read = &self.states[read_to % self.states.len()];
        let base = read.base_offset(&path.parse().expect("a valid path"));
        let body = match path.rsplit('/').nth(1) {
            Some("services") => service(&format!("/{size}/")),
            Some("jobs") => job(*size),
            _ => quota(*size),
        };
        let writer = format!("writer-{}", self.log.len());
        let base = base.map(|base| base.0);
        let mut built = change(&writer, path, base, (!is_removal).then_some(body));
        if *is_other_team {
            built.team = "three".to_owned();
        }
        Some(built)
    }
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            log: Vec::new(),
            states: vec![ConfigState::default()],
            results: Vec::new(),
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let publish = (
            0..PATHS.len(),
            any::<usize>(),
            0..5_u64,
            any::<bool>(),
            0..10,
        );
        let publish = publish.prop_map(|(path, read_to, size, is_removal, team)| Step::Publish {
            path,
            // Two thirds of the operators have read the whole log.
            read_to: if read_to % 3 == 0 {
                read_to
            } else {
                usize::MAX
            },
            size,
            is_removal,
            is_other_team: team == 0,
        });
        let restart = (0..PROCESSES, 0..PROCESSES, any::<u64>());
        prop_oneof![
            6 => publish,
            3 => any::<usize>().prop_map(Step::Duplicate),
            1 => Just(Step::Malformed),
            4 => (0..PROCESSES, 1..6_usize).prop_map(|(process, records)| Step::Read { process, records }),
            2 => restart.prop_map(|(process, from, order)| Step::Restart { process, from, order }),
            1 => (0..PROCESSES).prop_map(Step::Replay),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        let first_publish = Step::Publish {
            path: 0,
            read_to: 0,
            size: 0,
            is_removal: false,
            is_other_team: false,
        };
        match step {
            Step::Publish { read_to, .. } => {
                let mut step = step.clone();
                if let Step::Publish { read_to: to, .. } = &mut step
                    && *read_to == usize::MAX
                {
                    *to = state.states.len() - 1;
                }
                if let Some(change) = state.build_change(&step) {
                    state.publish(change);
                }
            }
            Step::Duplicate(_) if state.log.is_empty() => {
                if let Some(change) = state.build_change(&first_publish) {
                    state.publish(change);
                }
            }
            Step::Duplicate(at) => {
                let duplicate = state.log[at % state.log.len()].clone();
                state.append(duplicate);
            }
            Step::Malformed => state.append("{".to_owned()),
            Step::Read { .. } | Step::Restart { .. } | Step::Replay(_) => {}
        }
        state
    }
}

/// The processes under test.
struct Processes {
    states: Vec<ConfigState>,
}

impl Processes {
    fn read(&mut self, process: usize, records: usize, log: &[String]) {
        let state = &mut self.states[process];
        let from = state.next_offset().0 as usize;
        // A page of the log may start with records that were read before.
        let start = from.saturating_sub(2);
        for (offset, payload) in log.iter().enumerate().take(from + records).skip(start) {
            let _ = state.apply(Offset(offset as u64), payload);
        }
    }

    fn restart(&mut self, process: usize, from: usize, order: u64) {
        let snapshots = [("w1", from), ("w2", process)];
        let mut parts: Vec<String> = snapshots
            .iter()
            .flat_map(|(writer, from)| split_snapshot(&self.states[*from], writer, 1))
            .map(|part| serde_json::to_string(&part).expect("plain data"))
            .collect();
        parts.extend(parts.clone());
        let rotation = order as usize % parts.len();
        parts.rotate_left(rotation);
        let mut assembler = SnapshotAssembler::default();
        let snapshots = parts
            .iter()
            .filter_map(|part| assembler.add(part).expect("a valid part"));
        let newest = snapshots
            .map(|snapshot| snapshot.state)
            .max_by_key(ConfigState::next_offset);
        self.states[process] = newest.expect("a complete snapshot");
    }
}

impl StateMachineTest for Processes {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Reference) -> Self {
        Self {
            states: vec![ConfigState::default(); PROCESSES],
        }
    }

    fn apply(mut processes: Self, reference: &Reference, step: Step) -> Self {
        match step {
            Step::Read { process, records } => processes.read(process, records, &reference.log),
            Step::Restart {
                process,
                from,
                order,
            } => processes.restart(process, from, order),
            Step::Replay(process) => {
                let to = processes.states[process].next_offset().0 as usize;
                processes.states[process] = ConfigState::default();
                processes.read(process, to, &reference.log);
            }
            Step::Publish { .. } | Step::Duplicate(_) | Step::Malformed => {}
        }
        processes
    }

    fn check_invariants(processes: &Self, reference: &Reference) {
        for state in &processes.states {
            let read_to = state.next_offset().0 as usize;
            assert_eq!(*state, reference.states[read_to]);
        }
        assert_accepted_once(reference);
        assert_last_accepted_in_force(reference);
    }
}

/// Asserts that no publication is accepted twice, and no two publications with the same path and
/// base.
fn assert_accepted_once(reference: &Reference) {
    let mut accepted = BTreeSet::new();
    let mut bases = BTreeSet::new();
    for (payload, result) in reference.log.iter().zip(&reference.results) {
        if result.is_err() {
            continue;
        }
        assert!(accepted.insert(payload), "accepted twice: {payload}");
        let value: serde_json::Value = serde_json::from_str(payload).expect("it was accepted");
        let base = value["base_offset"].as_u64();
        let path = value["path"].to_string();
        assert!(bases.insert((path, base)), "base accepted twice: {payload}");
    }
}

/// Asserts that the last accepted publication of each path is the one in force.
fn assert_last_accepted_in_force(reference: &Reference) {
    let mut last = BTreeMap::new();
    for (offset, (payload, result)) in reference.log.iter().zip(&reference.results).enumerate() {
        if result.is_ok() {
            let value: serde_json::Value = serde_json::from_str(payload).expect("accepted");
            let path = value["path"].as_str().unwrap_or_default().to_owned();
            let is_removal = value["body"].is_null();
            last.insert(path, (!is_removal).then_some(Offset(offset as u64)));
        }
        for (path, version) in &last {
            assert_eq!(
                fixture::in_force_offset(&reference.states[offset + 1], path),
                *version
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn processes_that_read_the_same_records_agree(sequential 1..60 => Processes);
}
