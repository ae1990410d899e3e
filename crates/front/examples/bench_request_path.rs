//! Benchmarks the request path in one process: overhead, balancing policies, overload and one
//! core's throughput.
//!
//! The optional argument `[SECONDS]` is the length of each run. Targets, fronts and callers each
//! use a runtime of their own.

#[path = "../tests/fixtures/mod.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use dotterelhook_front::FrontSettings;
use dotterelhook_front::target::BalancingPolicy;
use dotterelhook_standins::load::LoadReport;
use dotterelhook_standins::load::LoadRun;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::target::TargetServer;
use dotterelhook_standins::target::TargetSettings;
use fixtures::PATH;
use fixtures::TestFront;
use fixtures::request;
use fixtures::set_members;
use fixtures::settings;
use fixtures::start_named_front;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use strum::VariantArray;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

const TARGETS: usize = 6;
const SLOTS: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const TIMEOUT_MS: u64 = 600;
const SLOW_MS: u64 = 200;
const CLOSED_LOOP_CALLERS: usize = 64;

struct Bench {
    targets_runtime: Runtime,
    fronts_runtime: Runtime,
    callers_runtime: Runtime,
    duration: Duration,
}

type Targets = Vec<(Arc<TargetServer>, SocketAddr)>;

fn runtime(threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(threads)
        .enable_all()
        .build()
        .unwrap()
}

impl Bench {
    fn targets(&self, service_time: Duration) -> Targets {
        let start = || async {
            let target = Arc::new(TargetServer::new(TargetSettings {
                slots: SLOTS,
                connections_max: 64,
                service_time,
            }));
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::spawn(Arc::clone(&target).serve(listener));
            (target, address)
        };
        let started = (0..TARGETS).map(|_| self.targets_runtime.block_on(start()));
        started.collect()
    }

    fn fronts(&self, policy: BalancingPolicy, targets: &Targets, count: usize) -> Vec<TestFront> {
        let addresses: Vec<SocketAddr> = targets.iter().map(|(_, address)| *address).collect();
        let fronts: Vec<TestFront> = (0..count)
            .map(|number| {
                let settings = FrontSettings {
                    fronts_max: count,
                    policy,
                    ..settings()
                };
                let host = format!("laguna-{number}");
                let front = start_named_front(&host, settings, TIMEOUT_MS, &addresses);
                self.fronts_runtime.block_on(front)
            })
            .collect();
        set_members(&fronts.iter().collect::<Vec<_>>());
        fronts
    }

    fn load(&self, name: &str, addresses: Vec<SocketAddr>, fraction: f64) -> LoadReport {
        let capacity = (TARGETS as u32 * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let run = LoadRun {
            name: name.into(),
            addresses,
            path: PATH.into(),
            method: Method::POST,
            rate_per_second: capacity * fraction,
            duration: self.duration,
            timeout: Duration::from_secs(10),
            seed: 5,
        };
        self.callers_runtime.block_on(run.run()).unwrap()
    }

    fn overhead(&self) {
        println!("# overhead at 50 %, paired, three times");
        for _ in 0..3 {
            let targets = self.targets(SERVICE_TIME);
            let fronts = self.fronts(BalancingPolicy::default(), &targets, 2);
            let direct = targets.iter().map(|(_, address)| *address).collect();
            let direct = self.load("direct", direct, 0.5);
            let through = fronts.iter().map(|front| front.address).collect();
            let through = self.load("front", through, 0.5);
            let ratio = |a: u64, b: u64| a as f64 / b as f64;
            println!("{direct}\n{through}");
            println!(
                "ratio p50 {:.3} p99 {:.3} p99.9 {:.3}",
                ratio(through.p50_us, direct.p50_us),
                ratio(through.p99_us, direct.p99_us),
                ratio(through.p999_us, direct.p999_us)
            );
        }
    }

    fn policies(&self) {
        for fault in [Fault::None, Fault::Slow, Fault::FailFast] {
            for fraction in [0.5, 0.8, 0.95, 2.0] {
                println!("# one target {fault:?}, load {fraction}");
                for policy in BalancingPolicy::VARIANTS {
                    let targets = self.targets(SERVICE_TIME);
                    targets[0].0.faults().set(FaultBody {
                        fault,
                        delay_ms: SLOW_MS,
                    });
                    let fronts = self.fronts(*policy, &targets, 2);
                    let addresses = fronts.iter().map(|front| front.address).collect();
                    println!("{}", self.load(&policy.to_string(), addresses, fraction));
                }
            }
        }
    }

    fn overload(&self) {
        println!("# before, at and ten seconds after five times the capacity");
        let targets = self.targets(SERVICE_TIME);
        let fronts = self.fronts(BalancingPolicy::default(), &targets, 2);
        let addresses: Vec<SocketAddr> = fronts.iter().map(|front| front.address).collect();
        for (name, fraction) in [("before", 0.5), ("twice", 2.0), ("5 times", 5.0)] {
            println!("{}", self.load(name, addresses.clone(), fraction));
        }
        std::thread::sleep(Duration::from_secs(10));
        println!("{}", self.load("after", addresses, 0.5));
    }

    fn one_core(&self) {
        println!("# closed loop, {CLOSED_LOOP_CALLERS} callers, fronts' runtime of one thread");
        let targets = self.targets(Duration::ZERO);
        let fronts = self.fronts(BalancingPolicy::default(), &targets, 1);
        let address = fronts[0].address;
        let until = Instant::now() + self.duration;
        let total = self.callers_runtime.block_on(async move {
            let callers: Vec<_> = (0..CLOSED_LOOP_CALLERS)
                .map(|_| tokio::spawn(run_closed_loop_caller(address, until)))
                .collect();
            let mut total = 0;
            for caller in callers {
                total += caller.await.unwrap();
            }
            total
        });
        let rate = total as f64 / self.duration.as_secs_f64();
        println!("{rate:.0} requests/s");
    }
}

async fn run_closed_loop_caller(address: SocketAddr, until: Instant) -> u64 {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut good = 0;
    while Instant::now() < until {
        sender.ready().await.unwrap();
        let answer = sender.send_request(request("POST", "x")).await.unwrap();
        good += u64::from(answer.status().is_success());
        answer.into_body().collect().await.unwrap();
    }
    good
}

fn main() {
    let seconds = std::env::args().nth(1);
    let seconds = seconds.map_or(3.0, |text| text.parse().expect("a number of seconds"));
    // Log lines of failed requests would make the terminal's speed part of the measurement.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let bench = |fronts_threads| Bench {
        targets_runtime: runtime(2),
        fronts_runtime: runtime(fronts_threads),
        callers_runtime: runtime(2),
        duration: Duration::from_secs_f64(seconds),
    };
    bench(1).one_core();
    bench(2).overhead();
    bench(2).overload();
    bench(2).policies();
}
