/// Returns the median, or 0 without values. Unlike the mean, it bears a single tail that was measured
/// far too high.
pub(super) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() % 2 {
        0 if middle > 0 => (values[middle - 1] + values[middle]) / 2.0,
        0 => 0.0,
        _ => values[middle],
    }
}
