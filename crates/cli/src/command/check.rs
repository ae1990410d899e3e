use std::path::Path;
use std::str::FromStr;

use dotterelhook_state::config::ConfigState;
use dotterelhook_types::document::DocumentError;
use dotterelhook_types::ids::Offset;
use serde::Serialize;
use serde_json::json;

use super::config_tree::ConfigTree;
use super::plan::Plan;
use super::read_config::read_config_through;
use super::read_config::read_config_within;
use super::worker_capacities::WorkerCapacities;
use crate::cli::CommonArguments;
use crate::cli::Failure;
use crate::config_check::CheckedConfig;
use crate::config_check::Difference;
use crate::config_check::FindingKind;
use crate::config_check::PlatformFacts;
use crate::config_check::find_differences;

/// The version that a configuration is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Against {
    InForce,
    Version(Offset),
}

impl FromStr for Against {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "in-force" => Ok(Self::InForce),
            _ => match text.parse() {
                Ok(version) => Ok(Self::Version(version)),
                Err(_) => Err(format!("{text:?} is neither in-force nor a version")),
            },
        }
    }
}

/// A finding with its place in a file.
#[derive(Debug, Serialize)]
struct PlacedFinding {
    kind: FindingKind,
    #[serde(flatten)]
    error: DocumentError,
}

/// Checks a directory of settings or one file of it, and prints all findings and, with `--against`,
/// the differences from a version.
///
/// The check needs no network, unless `--hosts` or `--against` is given.
///
/// # Errors
/// An argument is invalid, a file has an error, there is a finding and `--strict` is given, or the
/// host list or the log can't be read.
pub(crate) async fn check(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    let hosts = arguments.hosts()?;
    let is_strict = arguments.flag("--strict");
    let against: Option<Against> = arguments.optional_value("--against")?;
    let log = match against {
        Some(_) => Some(arguments.log()?),
        None => None,
    };
    let target = required_directory(&mut arguments)?;
    arguments.finish()?;
    let is_directory = !Path::new(&target).is_file();
    let mut tree = match is_directory {
        true => ConfigTree::read(Path::new(&target)),
        false => ConfigTree::read_file(Path::new(&target)),
    };
    let base = match (against, &log) {
        (Some(Against::InForce), Some(log)) => Some(read_config_within(log, timeout).await?),
        (Some(Against::Version(version)), Some(log)) => {
            Some(read_config_through(log, version, timeout).await?)
        }
        _ => None,
    };
    add_refusals(&mut tree, base.as_ref());
    let mut facts = None;
    if let Some(hosts) = hosts {
        let capacities = WorkerCapacities::fetch(hosts, timeout).await?;
        capacities.check_sizes(&mut tree);
        facts = Some(capacities.to_facts());
    }
    let findings = place_findings(&tree, base.as_ref(), is_directory, facts.as_ref());
    let differences = base
        .as_ref()
        .map(|base| find_differences(&tree.documents, base, is_directory));
    match is_json {
        true => print_json(&findings, differences.as_deref())?,
        false => print_text(&findings, differences.as_deref()),
    }
    let error_count = tree.errors.len();
    if error_count > 0 {
        return Err(Failure::Usage(format!("{error_count} faults in {target}")));
    }
    if !is_json {
        println!("{target}: {} documents, no fault", tree.documents.len());
    }
    match findings.len() {
        count if count > 0 && is_strict => {
            let text = format!("{count} findings in {target}");
            Err(Failure::Findings(text))
        }
        _ => Ok(()),
    }
}

/// Adds the refusals that publishing the documents on the base would meet.
fn add_refusals(tree: &mut ConfigTree, base: Option<&ConfigState>) {
    let base = base.cloned().unwrap_or_default();
    let plan = Plan::new(&base, tree.documents.clone(), &[]);
    for refusal in plan.expected_refusals(&base) {
        tree.add_refusal(&refusal);
    }
}

/// Returns the errors of the files, then the other findings, each with its place.
fn place_findings(
    tree: &ConfigTree,
    base: Option<&ConfigState>,
    is_directory: bool,
    facts: Option<&PlatformFacts>,
) -> Vec<PlacedFinding> {
    let errors = tree.errors.iter().map(|error| PlacedFinding {
        kind: FindingKind::Error,
        error: error.clone(),
    });
    // A document with an error is not among the others, so that nothing can be said about missing ones.
    let is_complete = tree.errors.is_empty() && (is_directory || base.is_some());
    let config = CheckedConfig::new(&tree.documents, base, is_complete);
    let findings = config.findings(facts);
    let findings = findings.iter().map(|finding| PlacedFinding {
        kind: finding.kind,
        error: tree.locate(&finding.path, &finding.error),
    });
    errors.chain(findings).collect()
}

fn print_json(
    findings: &[PlacedFinding],
    differences: Option<&[Difference]>,
) -> Result<(), Failure> {
    let text = match differences {
        None => serde_json::to_string_pretty(findings),
        Some(differences) => {
            let report = json!({ "findings": findings, "differences": differences });
            serde_json::to_string_pretty(&report)
        }
    };
    println!("{}", text.map_err(Failure::usage)?);
    Ok(())
}

fn print_text(findings: &[PlacedFinding], differences: Option<&[Difference]>) {
    for finding in findings {
        match finding.kind {
            FindingKind::Error => println!("{}", finding.error),
            kind => println!("{} ({kind})", finding.error),
        }
    }
    match differences {
        Some([]) => println!("no difference"),
        Some(differences) => differences.iter().for_each(|line| println!("{line}")),
        None => {}
    }
}

/// Returns the directory argument, which must be given.
pub(super) fn required_directory(arguments: &mut CommonArguments) -> Result<String, Failure> {
    let directory = arguments.next_positional()?;
    directory.ok_or_else(|| Failure::Usage("a directory must be given; try --help".to_owned()))
}
