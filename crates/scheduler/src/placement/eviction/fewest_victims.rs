use std::cmp::Reverse;

use dotterelhook_state::config::Priority;
use dotterelhook_types::sizes::Resources;

use super::Eviction;
use super::EvictionContext;
use super::EvictionPolicy;
use super::RunningAttempt;
use super::WorkerLoad;

/// Evicts on the worker that needs the fewest victims.
///
/// On a worker, attempts of lower priority are chosen first, then checkpointable ones, then the
/// newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct FewestVictims;

/// A worker during the choice of victims.
struct Candidate<'a> {
    load: &'a WorkerLoad,
    /// Free resources after all evictions chosen so far.
    free: Resources,
    /// Attempts that may still be chosen; the preferred victim is last.
    evictable: Vec<&'a RunningAttempt>,
}

/// Cost of one set of victims, compared in order: number of victims, of victims without checkpoint,
/// of victims above low priority, then age of the oldest victim. The lowest cost wins.
type Cost = (usize, usize, usize, Reverse<u64>);

impl EvictionPolicy for FewestVictims {
    fn choose(&self, context: &EvictionContext<'_>) -> Vec<Eviction> {
        let usable_loads = context
            .loads
            .iter()
            .filter(|l| (context.is_usable)(&l.worker));
        let mut candidates: Vec<Candidate<'_>> = usable_loads
            .map(|load| to_candidate(load, context))
            .collect();
        let mut evictions = Vec::new();
        for shortfall in context.shortfalls {
            for _ in 0..shortfall.tasks {
                let remaining = context.evictions_max - evictions.len();
                match make_room(&mut candidates, &shortfall.size, remaining) {
                    Some(victims) => evictions.extend(victims),
                    None => break,
                }
            }
        }
        evictions
    }
}

fn to_candidate<'a>(load: &'a WorkerLoad, context: &EvictionContext<'_>) -> Candidate<'a> {
    let mut free = load.free;
    let mut evictable = Vec::new();
    for running in &load.running {
        if context.pending.contains(&running.attempt) {
            free = free.saturating_add(&running.size);
        } else if running.priority != Priority::Urgent {
            evictable.push(running);
        }
    }
    evictable.sort_by_key(|running| Reverse(eviction_order(running)));
    Candidate {
        load,
        free,
        evictable,
    }
}

/// Sort key of victims on a worker; the smallest is evicted first.
fn eviction_order(running: &RunningAttempt) -> (Priority, bool, Reverse<u64>) {
    let loses_progress = !running.is_checkpointable;
    (
        running.priority,
        loses_progress,
        Reverse(running.started_order),
    )
}

/// Evicts victims for one task on the worker with the lowest cost.
///
/// Returns `None` if no worker gains enough room by at most `victims_max` evictions.
fn make_room(
    candidates: &mut [Candidate<'_>],
    size: &Resources,
    victims_max: usize,
) -> Option<Vec<Eviction>> {
    let mut best: Option<(Cost, usize, Vec<usize>)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let limit = best
            .as_ref()
            .map_or(victims_max, |(cost, ..)| cost.0.min(victims_max));
        let Some(victims) = minimal_victims(candidate, size, limit) else {
            continue;
        };
        let cost = cost(candidate, &victims);
        if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
            best = Some((cost, index, victims));
        }
    }
    let (_, index, mut victims) = best?;
    let chosen = &mut candidates[index];
    victims.sort_unstable();
    let mut evictions = Vec::new();
    for position in victims.into_iter().rev() {
        let running = chosen.evictable.remove(position);
        chosen.free = chosen.free.saturating_add(&running.size);
        evictions.push(Eviction {
            attempt: running.attempt.clone(),
            worker: chosen.load.worker.clone(),
        });
    }
    chosen.free = chosen.free.saturating_sub(size);
    Some(evictions)
}

/// Returns the positions of victims that make room for the size on one worker.
///
/// Victims are added in eviction order, then those that turned out unnecessary are dropped. Returns
/// `None` if there is not enough room or more than `victims_max` victims are needed.
fn minimal_victims(
    candidate: &Candidate<'_>,
    size: &Resources,
    victims_max: usize,
) -> Option<Vec<usize>> {
    let mut free = candidate.free;
    let mut chosen = Vec::new();
    for (position, running) in candidate.evictable.iter().enumerate().rev() {
        if size.fits_in(&free) {
            break;
        }
        free = free.saturating_add(&running.size);
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
    (chosen.len() <= victims_max).then_some(chosen)
}

fn cost(candidate: &Candidate<'_>, victims: &[usize]) -> Cost {
    let attempts = victims
        .iter()
        .map(|position| candidate.evictable[*position]);
    let above_low = attempts
        .clone()
        .filter(|running| running.priority != Priority::Low)
        .count();
    let losing_progress = attempts
        .clone()
        .filter(|running| !running.is_checkpointable)
        .count();
    let oldest = attempts.map(|running| running.started_order).min();
    (
        victims.len(),
        losing_progress,
        above_low,
        Reverse(oldest.unwrap_or(u64::MAX)),
    )
}
