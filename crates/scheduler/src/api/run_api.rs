use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::http::JsonAnswer;
use dotterelhook_borders::http::JsonClient;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::BodyError;
use dotterelhook_kernel::http::BodyLimits;
use dotterelhook_kernel::http::ClientBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::full_body;
use dotterelhook_kernel::http::receive_body;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::ShardId;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TeamName;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use rapidhash::v3::rapidhash_v3;
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::relocation_requests::RelocationRequest;
use crate::run_commands::RunCommandError;
use crate::run_commands::ShardChannels;
use crate::run_commands::ShardCommand;

const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than `REPLY_TIMEOUT`, so that the owner can still report its own timeout.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(12);
const RETRY_AFTER_SECONDS: u64 = 2;
/// Above the size of the largest run that moves.
const MOVED_RUN_MAX_BYTES: usize = 4 << 20;
/// The body of a moved run, its decoded form, and the copy that is forwarded.
const MOVED_RUN_COPIES: usize = 3;
const FORWARDED_QUERY: &str = "forwarded";

/// Dependencies of the run API.
pub(crate) struct RunApiContext {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) shard_count: u32,
    pub(crate) shards: ShardChannels,
    pub(crate) config: Arc<dyn ConfigView>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) clock: Arc<dyn Clock>,
}

/// HTTP handler that submits and cancels runs: `POST` and `DELETE` on `/runs/TEAM/JOB/RUN`.
pub(crate) struct RunApi {
    pub(super) context: RunApiContext,
}

struct RunPath {
    team: TeamName,
    job: JobName,
    run: RunId,
}

impl RunPath {
    fn parse(path: &str) -> Result<Self, CallError> {
        let malformed = || CallError::not_run("the path is not /runs/TEAM/JOB/RUN");
        let rest = path.strip_prefix("/runs/").ok_or_else(malformed)?;
        let parts: Vec<&str> = rest.split('/').collect();
        let [team, job, run] = parts[..] else {
            return Err(malformed());
        };
        let invalid = |e: dotterelhook_types::ids::NameError| CallError::not_run(e.to_string());
        Ok(Self {
            team: team.parse().map_err(invalid)?,
            job: job.parse().map_err(invalid)?,
            run: run.parse().map_err(invalid)?,
        })
    }
}

impl RunApi {
    /// Creates the handler.
    pub(crate) fn new(context: RunApiContext) -> Self {
        Self { context }
    }

    async fn execute(
        &self,
        method: &Method,
        path: &str,
        may_forward: bool,
    ) -> Response<AnswerBody> {
        let parsed = match RunPath::parse(path) {
            Ok(parsed) => parsed,
            Err(error) => return failure(StatusCode::BAD_REQUEST, &error),
        };
        let (reply, answer) = oneshot::channel();
        let command = match self.parse_command(method, &parsed, reply) {
            Ok(command) => command,
            Err(refusal) => return *refusal,
        };
        let result = self.send_to_shard(&parsed.run, command, answer).await;
        self.respond(
            &parsed.run,
            result,
            (method, path, &Value::Null),
            may_forward,
        )
        .await
    }

    /// Returns the answer to a request, which is passed on if another process can answer it.
    pub(super) async fn respond(
        &self,
        run: &RunId,
        result: Result<(), RunCommandError>,
        (method, path, body): (&Method, &str, &Value),
        may_forward: bool,
    ) -> Response<AnswerBody> {
        match result {
            Ok(()) => success(run),
            Err(RunCommandError::NotOwner) if may_forward => self.forward(method, path, body).await,
            Err(RunCommandError::Moved(domain)) => self.follow_run(&domain, method, path).await,
            Err(RunCommandError::NotOwner) => {
                let error = CallError::not_run("no owner of the shard is known");
                failure(StatusCode::SERVICE_UNAVAILABLE, &error)
            }
            Err(RunCommandError::Refused(refusal)) => {
                let error = CallError::not_run(refusal.to_string());
                failure(StatusCode::CONFLICT, &error)
            }
            Err(RunCommandError::NeverRunnable(reason)) => failure(
                StatusCode::UNPROCESSABLE_ENTITY,
                &CallError::not_run(reason),
            ),
            Err(RunCommandError::Unavailable) => {
                let error = CallError::not_run("nothing can be recorded at present");
                failure(StatusCode::SERVICE_UNAVAILABLE, &error)
            }
            Err(RunCommandError::OutcomeUnknown) => {
                let error = CallError::may_have_run(
                    "the record was not read back in time; ask again with the same run",
                );
                failure(StatusCode::GATEWAY_TIMEOUT, &error)
            }
        }
    }

    fn parse_command(
        &self,
        method: &Method,
        path: &RunPath,
        reply: oneshot::Sender<Result<(), RunCommandError>>,
    ) -> Result<ShardCommand, Box<Response<AnswerBody>>> {
        let refuse = |status, cause| Box::new(failure(status, &CallError::not_run(cause)));
        let run = path.run.clone();
        match *method {
            Method::POST => {
                let no_job = || refuse(StatusCode::NOT_FOUND, "the team has no such job");
                let spec = self.run_spec(path).ok_or_else(no_job)?;
                Ok(ShardCommand::Submit { run, spec, reply })
            }
            Method::DELETE => Ok(ShardCommand::Cancel {
                run,
                team: path.team.clone(),
                job: path.job.clone(),
                reply,
            }),
            _ => {
                let cause = "only POST and DELETE are allowed";
                Err(refuse(StatusCode::METHOD_NOT_ALLOWED, cause))
            }
        }
    }

    fn run_spec(&self, path: &RunPath) -> Option<Box<RunSpec>> {
        let config = self.context.config.current();
        let settings = config.job(&path.team, &path.job)?.clone();
        Some(Box::new(RunSpec {
            team: path.team.clone(),
            job: path.job.clone(),
            deadline_at_unix_ms: self.context.clock.unix_ms() + settings.deadline_ms,
            settings,
        }))
    }

    pub(super) async fn send_to_shard<T>(
        &self,
        run: &RunId,
        command: ShardCommand,
        answer: oneshot::Receiver<Result<T, RunCommandError>>,
    ) -> Result<T, RunCommandError> {
        let hash = rapidhash_v3(run.as_str().as_bytes());
        let index = (hash % u64::from(self.context.shard_count)) as u32;
        let shard = ShardId {
            failure_domain: self.context.failure_domain.clone(),
            index,
        };
        let sender = self
            .context
            .shards
            .sender(&shard)
            .ok_or(RunCommandError::NotOwner)?;
        sender
            .send(command)
            .await
            .map_err(|_| RunCommandError::NotOwner)?;
        match tokio::time::timeout(REPLY_TIMEOUT, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(RunCommandError::OutcomeUnknown),
        }
    }

    /// Forwards the request to the other live schedulers of the failure domain until the owner
    /// answers.
    async fn forward(&self, method: &Method, path: &str, body: &Value) -> Response<AnswerBody> {
        let own_id = self.context.membership.own_id();
        let mut peers = self.context.membership.live_peers(Role::Scheduler);
        peers.retain(|peer| peer.heartbeat.member != own_id);
        for peer in peers {
            let client = JsonClient::new(peer.heartbeat.api_address, FORWARD_TIMEOUT);
            let target = format!("{path}?{FORWARDED_QUERY}");
            match client.send(method.clone(), &target, body).await {
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {}
                Ok(answer) => return relay_answer(answer),
                Err(error) if error.verdict == Verdict::NotRun => {}
                Err(error) => return failure(StatusCode::GATEWAY_TIMEOUT, &error),
            }
        }
        let error = CallError::not_run("no owner of the shard can be reached");
        failure(StatusCode::SERVICE_UNAVAILABLE, &error)
    }
}

pub(super) fn with_verdict(
    status: StatusCode,
    text: String,
    verdict: Verdict,
) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(text));
    *answer.status_mut() = status;
    let verdict: &'static str = verdict.into();
    answer
        .headers_mut()
        .insert(Verdict::HEADER, HeaderValue::from_static(verdict));
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT {
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    }
    answer
}

fn success(run: &RunId) -> Response<AnswerBody> {
    with_verdict(StatusCode::OK, format!("{run} accepted\n"), Verdict::Ran)
}

pub(super) fn failure(status: StatusCode, error: &CallError) -> Response<AnswerBody> {
    with_verdict(status, format!("{error}\n"), error.verdict)
}

pub(super) fn relay_answer(answer: JsonAnswer) -> Response<AnswerBody> {
    let verdict = match answer.status.is_success() {
        true => Verdict::Ran,
        false if answer.status.is_client_error() => Verdict::NotRun,
        false => Verdict::MayHaveRun,
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    with_verdict(answer.status, text, verdict)
}

#[async_trait]
impl HttpHandler for RunApi {
    async fn handle(&self, request: Request<ClientBody>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let (method, path) = (&head.method, head.uri.path());
        let may_forward = head.uri.query() != Some(FORWARDED_QUERY);
        if !RelocationRequest::is_path(path) {
            return self.execute(method, path, may_forward).await;
        }
        let limits = BodyLimits {
            max_bytes: MOVED_RUN_MAX_BYTES,
            copies: MOVED_RUN_COPIES,
        };
        match receive_body(body, limits, Instant::now() + REPLY_TIMEOUT).await {
            Ok(body) => {
                let body = body.into_bytes();
                self.relocate(method, path, &body, may_forward).await
            }
            Err(error) => {
                let status = match error {
                    BodyError::NoMemory(_) | BodyError::Late => StatusCode::SERVICE_UNAVAILABLE,
                    BodyError::TooLarge { .. } | BodyError::BrokenOff(_) => StatusCode::BAD_REQUEST,
                };
                failure(status, &CallError::not_run(error.to_string()))
            }
        }
    }
}
