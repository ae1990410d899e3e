use bytes::Bytes;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::RunId;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use super::run_api::RunApi;
use super::run_api::failure;
use super::run_api::relay_answer;
use super::run_api::with_verdict;
use crate::relocation::HttpDomains;
use crate::relocation::RoomRequest;
use crate::run_commands::ShardCommand;

const ROOM_PREFIX: &str = "/room/";
const MOVED_RUNS_PREFIX: &str = "/moved-runs/";

/// A request of a scheduler of another failure domain that gives up runs.
pub(super) enum RelocationRequest {
    /// How many tasks could start now.
    Room(RunId, RoomRequest),
    /// Take over a run.
    Adopt(Box<MovedRun>),
}

impl RelocationRequest {
    /// Returns whether a path is of such a request.
    pub(super) fn is_path(path: &str) -> bool {
        path.starts_with(ROOM_PREFIX) || path.starts_with(MOVED_RUNS_PREFIX)
    }

    fn parse(path: &str, body: &Bytes) -> Result<Self, CallError> {
        let malformed = |cause: String| CallError::not_run(cause);
        if let Some(run) = path.strip_prefix(ROOM_PREFIX) {
            let run = run.parse().map_err(|e| malformed(format!("{e}")))?;
            let request = serde_json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
            return Ok(Self::Room(run, request));
        }
        let moved: MovedRun = serde_json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
        match path.strip_prefix(MOVED_RUNS_PREFIX) {
            Some(run) if run == moved.run.as_str() => Ok(Self::Adopt(Box::new(moved))),
            _ => Err(CallError::not_run("the path names another run")),
        }
    }
}

impl RunApi {
    /// Answers a scheduler of another failure domain, or lets the owner of the shard answer.
    pub(super) async fn relocate(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
        may_forward: bool,
    ) -> Response<AnswerBody> {
        if *method != Method::POST {
            let error = CallError::not_run("only POST is allowed");
            return failure(StatusCode::METHOD_NOT_ALLOWED, &error);
        }
        let request = match RelocationRequest::parse(path, body) {
            Ok(request) => request,
            Err(error) => return failure(StatusCode::BAD_REQUEST, &error),
        };
        let forwarded: Value = serde_json::from_slice(body).unwrap_or_default();
        match request {
            RelocationRequest::Room(run, request) => {
                let (reply, answer) = oneshot::channel();
                let command = ShardCommand::CountRoom { request, reply };
                match self.send_to_shard(&run, command, answer).await {
                    Ok(tasks) => {
                        with_verdict(StatusCode::OK, json!(tasks).to_string(), Verdict::Ran)
                    }
                    Err(error) => {
                        self.respond(&run, Err(error), (method, path, &forwarded), may_forward)
                            .await
                    }
                }
            }
            RelocationRequest::Adopt(moved) => {
                let run = moved.run.clone();
                let (reply, answer) = oneshot::channel();
                let command = ShardCommand::Adopt { moved, reply };
                let result = self.send_to_shard(&run, command, answer).await;
                self.respond(&run, result, (method, path, &forwarded), may_forward)
                    .await
            }
        }
    }

    /// Passes a request on to the failure domain that the run has left for.
    pub(super) async fn follow_run(
        &self,
        domain: &FailureDomain,
        method: &Method,
        path: &str,
    ) -> Response<AnswerBody> {
        let context = &self.context;
        let domains = HttpDomains::new(context.membership.clone(), context.failure_domain.clone());
        match domains.send(domain, method, path, &()).await {
            Ok(answer) => relay_answer(answer),
            Err(error) if error.verdict == Verdict::NotRun => {
                failure(StatusCode::SERVICE_UNAVAILABLE, &error)
            }
            Err(error) => failure(StatusCode::GATEWAY_TIMEOUT, &error),
        }
    }
}
