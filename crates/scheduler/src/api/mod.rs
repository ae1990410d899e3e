//! The interface for submitters of runs.

mod run_api;

pub(crate) use run_api::RunApi;
pub(crate) use run_api::RunApiContext;
