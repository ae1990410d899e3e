//! The faults that the generated test injects, as events in random order.

use std::str::FromStr;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;

pub(crate) const EXECUTORS: [&str; 3] = ["i-1", "i-2", "i-3"];
/// The longest delay of an order that an executor carries out late.
const LATE_MAX_MS: u64 = 12_000;
/// The longest delay of a report: an owner waits for the hold of a renewal and then 500 ms.
const REPORT_DELAY_MAX_MS: u64 = 1_500;

/// The outcome of a message and its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Delivery {
    Answered,
    /// Carried out at once. A report reaches the owner late, the answer to an order at once.
    AnsweredLate {
        after_ms: u64,
    },
    AnswerLost,
    /// Carried out without an answer, after calls that were sent later.
    DeliveredLate {
        after_ms: u64,
    },
    NotSent,
    /// Refused by an unhealthy executor, without an effect.
    Refused,
}

/// What the platform's contract leaves open, the same for a whole case.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contract {
    pub(crate) enforces_fences: bool,
    /// Whether an order that is carried out late outlives its incarnation: the next one at the same
    /// address then carries it out. Otherwise the order is lost with the process.
    pub(crate) late_orders_cross_restarts: bool,
    /// The number of ended runs in one report.
    pub(crate) listed_ends_max: usize,
}

/// Late orders cross restarts only if the variable `DOTTERELHOOK_LATE_ACROSS_RESTARTS` is set to 1:
/// no owner can rule out a duplicate then, because a restarted executor knows no stopped run.
pub(crate) fn contracts() -> impl Strategy<Value = Contract> {
    let may_cross = number_from("DOTTERELHOOK_LATE_ACROSS_RESTARTS", 0) == 1;
    let choices = (any::<(bool, bool)>(), prop_oneof![Just(3), Just(500_usize)]);
    choices.prop_map(
        move |((enforces_fences, crosses), listed_ends_max)| Contract {
            enforces_fences,
            late_orders_cross_restarts: may_cross && crosses,
            listed_ends_max,
        },
    )
}

/// The owner that a message comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sender {
    Owner,
    /// The owner before the last takeover, which has not learned of it.
    FormerOwner,
}

/// One event of a generated simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Submit {
        steps: u32,
        width: u32,
        cpu_milli: u64,
        estimate_ms: u64,
    },
    Cancel {
        index: usize,
    },
    Advance {
        ms: u64,
    },
    Commit {
        answer_lost: bool,
    },
    Renew {
        sender: Sender,
        executor: usize,
        delivery: Delivery,
    },
    DeliverOrder {
        sender: Sender,
        executor: usize,
        deliveries: Vec<Delivery>,
    },
    /// Cuts an executor off from all owners but the former one.
    Isolate {
        executor: usize,
    },
    Reconnect {
        executor: usize,
    },
    Crash {
        executor: usize,
    },
    Restart {
        executor: usize,
    },
    TakeOver {
        keeps_stale_owner: bool,
    },
    /// Rounds in which messages of the owner aren't delayed or lost.
    RunCalmly {
        rounds: u32,
    },
    /// Operators evacuate the failure domain of an executor.
    Evacuate {
        executor: usize,
    },
    EndEvacuation {
        executor: usize,
    },
    /// Sets whether an owner's reads of the operators' records fail.
    CutOffView {
        sender: Sender,
        is_cut_off: bool,
    },
}

fn deliveries() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Answered),
        2 => (0..REPORT_DELAY_MAX_MS).prop_map(|after_ms| Delivery::AnsweredLate { after_ms }),
        1 => Just(Delivery::AnswerLost),
        1 => (0..LATE_MAX_MS).prop_map(|after_ms| Delivery::DeliveredLate { after_ms }),
        1 => Just(Delivery::NotSent),
        1 => Just(Delivery::Refused),
    ]
}

fn senders() -> impl Strategy<Value = Sender> {
    prop_oneof![2 => Just(Sender::Owner), 1 => Just(Sender::FormerOwner)]
}

fn submissions() -> impl Strategy<Value = Event> {
    // Only runs with a long estimate leave an evacuated failure domain.
    let wide = (1..3_u32, 1..4_u32, Just((1_500, 10_000)));
    let small = (1..3_u32, 1..9_u32, Just((400, 1_000)));
    prop_oneof![wide, small].prop_map(|(steps, width, (cpu_milli, estimate_ms))| Event::Submit {
        steps,
        width,
        cpu_milli,
        estimate_ms,
    })
}

pub(crate) fn events() -> impl Strategy<Value = Vec<Event>> {
    let executor = 0..EXECUTORS.len();
    let event = prop_oneof![
        2 => submissions(),
        1 => any::<usize>().prop_map(|index| Event::Cancel { index }),
        6 => (1..900_u64).prop_map(|ms| Event::Advance { ms }),
        8 => any::<u8>().prop_map(|dice| Event::Commit { answer_lost: dice < 25 }),
        12 => (senders(), executor.clone(), deliveries())
            .prop_map(|(sender, executor, delivery)| Event::Renew { sender, executor, delivery }),
        12 => (senders(), executor.clone(), proptest::collection::vec(deliveries(), 3)).prop_map(
            |(sender, executor, deliveries)| Event::DeliverOrder { sender, executor, deliveries }
        ),
        1 => executor.clone().prop_map(|executor| Event::Isolate { executor }),
        1 => executor.clone().prop_map(|executor| Event::Reconnect { executor }),
        1 => executor.clone().prop_map(|executor| Event::Crash { executor }),
        2 => executor.clone().prop_map(|executor| Event::Restart { executor }),
        2 => (1..20_u32).prop_map(|rounds| Event::RunCalmly { rounds }),
        2 => executor.clone().prop_map(|executor| Event::Evacuate { executor }),
        2 => executor.prop_map(|executor| Event::EndEvacuation { executor }),
        1 => (senders(), any::<bool>())
            .prop_map(|(sender, is_cut_off)| Event::CutOffView { sender, is_cut_off }),
        1 => any::<bool>().prop_map(|keeps_stale_owner| Event::TakeOver { keeps_stale_owner }),
    ];
    proptest::collection::vec(event, 20..160)
}

pub(crate) fn number_from<T: FromStr>(variable: &str, default: T) -> T {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}
