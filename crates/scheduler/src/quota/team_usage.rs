use std::collections::BTreeMap;

use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;

const WHOLE_PPM: u64 = 1_000_000;

/// What the open attempts of each team take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamUsage {
    used: BTreeMap<TeamName, Resources>,
}

impl TeamUsage {
    /// Returns what the team's attempts take together.
    pub fn used(&self, team: &TeamName) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Adds an attempt.
    pub fn add(&mut self, team: &TeamName, size: &Resources) {
        let sum = self.used(team).saturating_add(size);
        self.used.insert(team.clone(), sum);
    }

    /// Removes an attempt.
    pub fn remove(&mut self, team: &TeamName, size: &Resources) {
        let rest = self.used(team).saturating_sub(size);
        if rest == Resources::default() {
            self.used.remove(team);
        } else {
            self.used.insert(team.clone(), rest);
        }
    }

    /// Returns whether one more attempt keeps the team within the limit.
    pub fn allows(&self, team: &TeamName, size: &Resources, limit: Option<Resources>) -> bool {
        limit.is_none_or(|limit| self.used(team).saturating_add(size).fits_in(&limit))
    }

    /// Returns the largest share that the team takes of any one resource of the whole, in ppm.
    pub fn dominant_share_ppm(&self, team: &TeamName, whole: &Resources) -> u64 {
        let used = self.used(team);
        let share = |part: u64, of: u64| part.saturating_mul(WHOLE_PPM) / of.max(1);
        share(used.cpu_milli.0, whole.cpu_milli.0)
            .max(share(used.memory_mb.0, whole.memory_mb.0))
            .max(share(used.accelerators.0, whole.accelerators.0))
    }
}
