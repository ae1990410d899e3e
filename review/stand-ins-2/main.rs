//! Starts the project's daemons beside stand-ins of the platform, and plays one case of the review.
//!
//! `stand-ins CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` in the environment it plays the case without the disruption.

mod deployment;
mod executor;
mod http;
mod json;
mod record;
mod store;

mod cases;

use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(path);
    let verdict = match &**case {
        "held-room" => cases::held_room(&record, has_trouble),
        "probation" => cases::probation(&record, has_trouble),
        "hot-rack" => cases::hot_rack(&record, has_trouble),
        "draining" => cases::draining(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let (text, code) = match verdict {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(breach)) => (format!("BROKEN: {breach}"), 1),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
