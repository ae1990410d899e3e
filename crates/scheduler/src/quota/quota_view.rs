use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;

/// What each team may take at once.
pub trait QuotaView: Send + Sync {
    /// Returns the most that the team's open attempts may take together; none if unlimited.
    fn limit(&self, team: &TeamName) -> Option<Resources>;
}

/// Limits no team.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoQuotas;

impl QuotaView for NoQuotas {
    fn limit(&self, _team: &TeamName) -> Option<Resources> {
        None
    }
}
