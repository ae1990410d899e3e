//! Sends open-loop load directly to targets and then to fronts, for comparison in one run.
//!
//! `--fronts A,B --targets A,B,C --path PATH [--method POST] [--rate N] [--seconds N]
//! [--timeout-ms N] [--seed N] [--json]`; either list may be omitted.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_standins::load::LoadReport;
use dotterelhook_standins::load::LoadRun;
use dotterelhook_standins::server::Arguments;
use eyre::WrapErr;
use hyper::Method;

fn addresses(list: &str) -> eyre::Result<Vec<SocketAddr>> {
    let items = list.split(',').filter(|item| !item.is_empty());
    items
        .map(|item| {
            item.parse()
                .wrap_err_with(|| format!("bad address {item:?}"))
        })
        .collect()
}

fn print_ratio(direct: &LoadReport, front: &LoadReport) {
    let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
    println!(
        "ratio front/direct: p50 {:.2}  p99 {:.2}  p99.9 {:.2}",
        ratio(front.p50_us, direct.p50_us),
        ratio(front.p99_us, direct.p99_us),
        ratio(front.p999_us, direct.p999_us)
    );
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let fronts = addresses(&arguments.optional("--fronts", String::new())?)?;
    let targets = addresses(&arguments.optional("--targets", String::new())?)?;
    let is_json = arguments.flag("--json");
    let run = LoadRun {
        name: "load".into(),
        addresses: Vec::new(),
        path: arguments.required::<String>("--path")?.into(),
        method: arguments.optional("--method", Method::POST)?,
        rate_per_second: arguments.optional("--rate", 500.0)?,
        duration: Duration::from_secs_f64(arguments.optional("--seconds", 5.0)?),
        timeout: Duration::from_millis(arguments.optional("--timeout-ms", 10_000)?),
        seed: arguments.optional("--seed", 1)?,
    };
    arguments.finish()?;

    let mut reports = Vec::new();
    for (name, addresses) in [("direct", targets), ("front", fronts)] {
        if !addresses.is_empty() {
            let report = LoadRun {
                name: name.into(),
                addresses,
                ..run.clone()
            }
            .run()
            .await?;
            reports.push(report);
        }
    }
    if is_json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
        return Ok(());
    }
    reports.iter().for_each(|report| println!("{report}"));
    if let [direct, front] = &reports[..] {
        print_ratio(direct, front);
    }
    Ok(())
}
