use std::cmp::Reverse;

use dotterelhook_state::config::Priority;
use dotterelhook_types::sizes::Resources;

use super::Eviction;
use super::EvictionContext;
use super::EvictionPolicy;
use super::RunningTask;
use super::WorkerLoad;

/// Takes the worker where the fewest attempts make room; there, attempts of low priority,
/// then checkpointable ones, then the youngest come first.
#[derive(Clone, Copy, Debug, Default)]
pub struct FewestVictims;

/// A worker while victims are chosen.
struct Candidate<'a> {
    load: &'a WorkerLoad,
    /// What is free once all victims so far are gone.
    free: Resources,
    /// Attempts that may still be chosen, the best last.
    evictable: Vec<&'a RunningTask>,
}

/// How much one choice costs; the smallest is taken.
type Cost = (usize, usize, usize, Reverse<u64>);

impl EvictionPolicy for FewestVictims {
    fn choose(&self, context: &EvictionContext<'_>) -> Vec<Eviction> {
        let usable = context
            .loads
            .iter()
            .filter(|l| (context.is_usable)(&l.worker));
        let mut candidates: Vec<Candidate<'_>> =
            usable.map(|load| candidate(load, context)).collect();
        let mut evictions = Vec::new();
        for shortfall in context.shortfalls {
            for _ in 0..shortfall.tasks {
                let rest = context.evictions_max - evictions.len();
                match make_room(&mut candidates, &shortfall.size, rest) {
                    Some(victims) => evictions.extend(victims),
                    None => break,
                }
            }
        }
        evictions
    }
}

fn candidate<'a>(load: &'a WorkerLoad, context: &EvictionContext<'_>) -> Candidate<'a> {
    let mut free = load.free;
    let mut evictable = Vec::new();
    for task in &load.running {
        if context.pending.contains(&task.attempt) {
            free = free.saturating_add(&task.size);
        } else if task.priority != Priority::Urgent {
            evictable.push(task);
        }
    }
    evictable.sort_by_key(|task| Reverse(preference(task)));
    Candidate {
        load,
        free,
        evictable,
    }
}

/// Smaller for attempts that are evicted sooner.
fn preference(task: &RunningTask) -> (Priority, bool, Reverse<u64>) {
    let is_lossy = !task.is_checkpointable;
    (task.priority, is_lossy, Reverse(task.started_order))
}

/// Makes room for one task on the cheapest worker; none if no choice of at most `rest` does.
fn make_room(
    candidates: &mut [Candidate<'_>],
    size: &Resources,
    rest: usize,
) -> Option<Vec<Eviction>> {
    let mut best: Option<(Cost, usize, Vec<usize>)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let most = best.as_ref().map_or(rest, |(cost, ..)| cost.0.min(rest));
        let Some(victims) = victims(candidate, size, most) else {
            continue;
        };
        let cost = cost(candidate, &victims);
        if best.as_ref().is_none_or(|(known, ..)| cost < *known) {
            best = Some((cost, index, victims));
        }
    }
    let (_, index, mut victims) = best?;
    let chosen = &mut candidates[index];
    victims.sort_unstable();
    let mut evictions = Vec::new();
    for position in victims.into_iter().rev() {
        let task = chosen.evictable.remove(position);
        chosen.free = chosen.free.saturating_add(&task.size);
        evictions.push(Eviction {
            attempt: task.attempt.clone(),
            worker: chosen.load.worker.clone(),
        });
    }
    chosen.free = chosen.free.saturating_sub(size);
    Some(evictions)
}

/// Returns positions of attempts whose end makes room, without any that is not needed.
fn victims(candidate: &Candidate<'_>, size: &Resources, most: usize) -> Option<Vec<usize>> {
    let mut free = candidate.free;
    let mut chosen = Vec::new();
    for (position, task) in candidate.evictable.iter().enumerate().rev() {
        if size.fits_in(&free) {
            break;
        }
        free = free.saturating_add(&task.size);
        chosen.push(position);
    }
    if !size.fits_in(&free) {
        return None;
    }
    for position in chosen.clone() {
        let without = free.saturating_sub(&candidate.evictable[position].size);
        if size.fits_in(&without) {
            free = without;
            chosen.retain(|kept| *kept != position);
        }
    }
    (chosen.len() <= most).then_some(chosen)
}

fn cost(candidate: &Candidate<'_>, victims: &[usize]) -> Cost {
    let tasks = victims
        .iter()
        .map(|position| candidate.evictable[*position]);
    let normal = tasks
        .clone()
        .filter(|t| t.priority != Priority::Low)
        .count();
    let lossy = tasks.clone().filter(|t| !t.is_checkpointable).count();
    let oldest = tasks.map(|task| task.started_order).min();
    (
        victims.len(),
        lossy,
        normal,
        Reverse(oldest.unwrap_or(u64::MAX)),
    )
}
