use crate::model::ImageName;

/// What the tasks of a serving image bear beside what they have, as multiples of their own load.
#[derive(Clone, Debug, PartialEq)]
pub struct Headroom {
    /// What serves.
    pub image: ImageName,
    /// At the present load, with the fillers at their present pace.
    pub at_current_load: f64,
    /// At the highest load, with the fillers at full pace.
    pub at_peak_load: f64,
}
