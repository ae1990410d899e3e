//! The cases of the review that are scripts: `rig CASE RECORD`. Exits with 1 if the rule was broken, with
//! 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

#[allow(dead_code)]
mod executor;
#[allow(dead_code)]
mod host;
mod http;
mod json;
mod record;
#[allow(dead_code)]
mod rig;
mod store;

mod crashing_executors;
mod gang_checkpoints;
mod many_tasks;
mod other_kind;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let verdict = match arguments.get(1).map(String::as_str) {
        Some("many-tasks") => many_tasks::run(&arguments[2], has_trouble),
        Some("crashing-executors") => crashing_executors::run(&arguments[2], has_trouble),
        Some("gang-checkpoints") => gang_checkpoints::run(&arguments[2], has_trouble),
        Some("other-kind") => other_kind::run(&arguments[2], has_trouble),
        _ => 2,
    };
    std::process::exit(verdict);
}
