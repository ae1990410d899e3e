use std::collections::BTreeMap;

use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;

const PPM_PER_UNIT: u64 = 1_000_000;

/// Resources that the open attempts of each team reserve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamUsage {
    used: BTreeMap<TeamName, Resources>,
}

impl TeamUsage {
    /// Returns the sum of the team's reservations.
    pub fn used(&self, team: &TeamName) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Adds the reservation of one attempt.
    pub fn add(&mut self, team: &TeamName, size: &Resources) {
        let sum = self.used(team).saturating_add(size);
        self.used.insert(team.clone(), sum);
    }

    /// Removes the reservation of one attempt.
    pub fn remove(&mut self, team: &TeamName, size: &Resources) {
        let rest = self.used(team).saturating_sub(size);
        if rest == Resources::default() {
            self.used.remove(team);
        } else {
            self.used.insert(team.clone(), rest);
        }
    }

    /// Returns whether one more attempt of the size keeps the team within the limit.
    pub fn allows(&self, team: &TeamName, size: &Resources, limit: Option<Resources>) -> bool {
        limit.is_none_or(|limit| self.used(team).saturating_add(size).fits_in(&limit))
    }

    /// Returns the team's dominant share in parts per million: its largest share of any single
    /// resource of `total`.
    pub fn dominant_share_ppm(&self, team: &TeamName, total: &Resources) -> u64 {
        let used = self.used(team);
        let share = |used: u64, total: u64| used.saturating_mul(PPM_PER_UNIT) / total.max(1);
        share(used.cpu_milli.0, total.cpu_milli.0)
            .max(share(used.memory_mb.0, total.memory_mb.0))
            .max(share(used.accelerators.0, total.accelerators.0))
    }
}
