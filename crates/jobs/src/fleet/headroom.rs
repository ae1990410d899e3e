use crate::model::ImageName;

/// The extra utilization that the tasks of a serving image can tolerate.
///
/// Negative values mean that the fillers cause more than the tasks tolerate.
#[derive(Clone, Debug, PartialEq)]
pub struct Headroom {
    /// The serving image.
    pub image: ImageName,
    /// The headroom at the current load, with the fillers at their current pace.
    pub at_current_load: f64,
    /// The headroom at the peak load, with the fillers at full pace.
    pub at_peak_load: f64,
}
