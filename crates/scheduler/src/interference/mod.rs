//! Which batch jobs slow which services down, learned from lagging measurements.
