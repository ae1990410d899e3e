//! HTTP API for submitting and cancelling runs.

mod run_api;

pub(crate) use run_api::RunApi;
pub(crate) use run_api::RunApiContext;
