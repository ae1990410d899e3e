use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use dotterelhook_borders::http::read_body;
use dotterelhook_types::Verdict;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;

use super::LoadReport;

const BODY_MAX_BYTES: usize = 1 << 20;
const LATENCY_MAX_US: u64 = 120_000_000;

/// The configuration of one load run.
#[derive(Clone, Debug)]
pub struct LoadRun {
    /// The name in the report, which is also the prefix of request ids.
    pub name: Box<str>,
    /// The addresses that receive requests; each request picks one at random.
    pub addresses: Vec<SocketAddr>,
    /// The URL path of each request, with a leading slash.
    pub path: Box<str>,
    /// The HTTP method of each request.
    pub method: Method,
    /// The mean arrival rate of the Poisson arrivals.
    pub rate_per_second: f64,
    /// The time during which requests are sent; their answers may come later.
    pub duration: Duration,
    /// The time after which an unanswered request counts as timed out.
    pub timeout: Duration,
    /// The seed of arrival times and address choices.
    pub seed: u64,
}

struct Sample {
    latency: Duration,
    outcome: Outcome,
}

enum Outcome {
    Good,
    Wrong,
    Other(Box<str>),
}

impl LoadRun {
    /// Sends the load and returns the report after the last answer.
    ///
    /// # Errors
    /// A request or the latency histogram is invalid.
    pub async fn run(&self) -> eyre::Result<LoadReport> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build::<_, Full<Bytes>>(connector);
        let (samples, received) = mpsc::unbounded_channel();
        let started_at = Instant::now();
        let mut next_offset = Duration::ZERO;
        let mut index = 0_u64;
        while next_offset < self.duration {
            let intended_at = started_at + next_offset;
            tokio::time::sleep_until(intended_at.into()).await;
            let address = self.addresses[rng.random_range(0..self.addresses.len())];
            let request = self.request(address, index)?;
            let expected = format!("{}-{}-{index}", self.name, self.seed);
            let client = client.clone();
            let samples = samples.clone();
            let timeout = self.timeout;
            tokio::spawn(async move {
                let exchange = exchange(&client, request, &expected);
                let outcome = match tokio::time::timeout(timeout, exchange).await {
                    Ok(outcome) => outcome,
                    Err(_) => Outcome::Other("timed out".into()),
                };
                let _ = samples.send(Sample {
                    latency: intended_at.elapsed(),
                    outcome,
                });
            });
            next_offset +=
                Duration::from_secs_f64(sample_exponential(&mut rng) / self.rate_per_second);
            index += 1;
        }
        drop(samples);
        self.summarize(received).await
    }

    fn request(&self, address: SocketAddr, index: u64) -> eyre::Result<Request<Full<Bytes>>> {
        let id = format!("{}-{}-{index}", self.name, self.seed);
        let request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path))
            .header("x-request-id", &id)
            .body(Full::new(Bytes::from(id)))?;
        Ok(request)
    }

    async fn summarize(
        &self,
        mut received: mpsc::UnboundedReceiver<Sample>,
    ) -> eyre::Result<LoadReport> {
        let mut latencies_us = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)?;
        let mut answers: BTreeMap<Box<str>, u64> = BTreeMap::new();
        let mut wrong_answers = 0;
        while let Some(sample) = received.recv().await {
            match sample.outcome {
                Outcome::Good => {
                    latencies_us.saturating_record(sample.latency.as_micros() as u64);
                }
                Outcome::Wrong => wrong_answers += 1,
                Outcome::Other(cause) => *answers.entry(cause).or_default() += 1,
            }
        }
        let mut report = LoadReport::new(
            &self.name,
            self.rate_per_second,
            self.duration,
            &latencies_us,
        );
        report.answers = answers;
        report.wrong_answers = wrong_answers;
        Ok(report)
    }
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    expected: &str,
) -> Outcome {
    let answer = match client.request(request).await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return Outcome::Other("can't connect".into()),
        Err(_) => return Outcome::Other("connection broke".into()),
    };
    let status = answer.status();
    let verdict = answer
        .headers()
        .get(Verdict::HEADER)
        .and_then(|v| v.to_str().ok());
    let label = format!("{} {}", status.as_u16(), verdict.unwrap_or("no verdict"));
    match read_body(answer.into_body(), BODY_MAX_BYTES).await {
        Err(_) => Outcome::Other("answer cut off".into()),
        Ok(_) if !status.is_success() => Outcome::Other(label.into()),
        Ok(body) if body.as_ref() == expected.as_bytes() => Outcome::Good,
        Ok(_) => Outcome::Wrong,
    }
}

fn sample_exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
