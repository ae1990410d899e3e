//! HTTP API for submitting and cancelling runs.

mod relocation_requests;
mod run_api;

pub(crate) use run_api::RunApi;
pub(crate) use run_api::RunApiContext;
