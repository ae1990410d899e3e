use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;

/// Read access to the resource limits of teams.
pub trait QuotaView: Send + Sync {
    /// Returns the most that the team's open attempts may reserve together; `None` for no limit.
    fn limit(&self, team: &TeamName) -> Option<Resources>;
}

/// Quotas that limit no team.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoQuotas;

impl QuotaView for NoQuotas {
    fn limit(&self, _team: &TeamName) -> Option<Resources> {
        None
    }
}
