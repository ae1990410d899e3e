//! A simulated log whose behavior at an operator's append is given, a host list with a worker, and
//! runs of the command line.
#![allow(dead_code)]

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_standins::hosts::HostListServer;
use dotterelhook_standins::hosts::register;
use dotterelhook_standins::log::LogServer;
use dotterelhook_standins::server::Answer;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::server::FaultSwitch;
use dotterelhook_standins::server::Handler;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;
use dotterelhook_standins::worker::WorkerModel;
use dotterelhook_standins::worker::WorkerServer;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use hyper::Method;
use tokio::process::Command;

const RECORDS_MAX: usize = 10_000;

/// The behavior of the log at an operator's append.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AppendBehavior {
    /// Appends and answers.
    Succeed,
    /// Appends and loses the answer.
    LoseAnswer,
    /// Stops answering before the append.
    FreezeBefore,
    /// Appends and then stops answering.
    FreezeAfter,
    /// Appends a record of another writer first.
    AppendRivalFirst(Box<str>),
}

pub(crate) struct ScriptedLog {
    inner: LogServer,
    faults: FaultSwitch,
    append_behavior: Mutex<AppendBehavior>,
}

impl ScriptedLog {
    fn set_fault(&self, fault: Fault) {
        self.faults.set(FaultBody { fault, delay_ms: 0 });
    }

    fn append_behavior(&self) -> AppendBehavior {
        self.append_behavior.lock().unwrap().clone()
    }

    /// Sets the fault for the append one request ahead, because the server reads the fault switch
    /// before it handles a request.
    fn arm_fault(&self) {
        match self.append_behavior() {
            AppendBehavior::LoseAnswer => self.set_fault(Fault::LoseAnswers),
            AppendBehavior::FreezeBefore => self.set_fault(Fault::Frozen),
            _ => {}
        }
    }
}

#[async_trait]
impl Handler for ScriptedLog {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, method: &Method, path: &str, query: &str, body: Bytes) -> Answer {
        if *method == Method::GET {
            let answer = self.inner.handle(method, path, query, body).await;
            self.arm_fault();
            return answer;
        }
        let append_behavior = std::mem::replace(
            &mut *self.append_behavior.lock().unwrap(),
            AppendBehavior::Succeed,
        );
        if let AppendBehavior::AppendRivalFirst(payload) = &append_behavior {
            let text = format!("{{\"payloads\":[{}]}}", serde_json::json!(payload));
            self.inner.handle(method, path, query, text.into()).await;
        }
        let answer = self.inner.handle(method, path, query, body).await;
        match append_behavior {
            AppendBehavior::LoseAnswer => self.set_fault(Fault::None),
            AppendBehavior::FreezeAfter => {
                self.set_fault(Fault::Frozen);
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        answer
    }
}

pub(crate) async fn start(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, handler));
    address
}

pub(crate) async fn start_log(append_behavior: AppendBehavior) -> SocketAddr {
    let log = ScriptedLog {
        inner: LogServer::new(RECORDS_MAX),
        faults: FaultSwitch::default(),
        append_behavior: Mutex::new(append_behavior),
    };
    start(Arc::new(log)).await
}

pub(crate) async fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dotterelhook"));
    command.args(arguments).output().await.unwrap()
}

pub(crate) fn exit_and_text(output: &Output) -> (Option<i32>, String) {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}

/// Starts a host list with one worker of 2 cores and 8000 MB in failure domain laguna.
pub(crate) async fn start_hosts() -> SocketAddr {
    let worker: dotterelhook_types::ids::WorkerId = "w0".parse().unwrap();
    let model = WorkerModel::new(worker.clone(), Incarnation(1), Resources::new(2_000, 8_000));
    let address = start(Arc::new(WorkerServer::new(model))).await;
    let hosts = start(Arc::new(HostListServer::new(Duration::ZERO))).await;
    let entry = WorkerEntry {
        worker,
        address,
        failure_domain: "laguna".parse().unwrap(),
        rack: "r0".parse().unwrap(),
        state: HostState::Live,
    };
    let entries = HostSnapshot {
        targets: Vec::new(),
        workers: vec![entry],
    };
    register(hosts, &entries).await.unwrap();
    hosts
}

pub(crate) fn write_tree(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("tree-{name}"));
    let _ = fs::remove_dir_all(&root);
    fs::create_dir_all(&root).unwrap();
    for (file, content) in files {
        let path = root.join(file);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, content).unwrap();
    }
    root
}
