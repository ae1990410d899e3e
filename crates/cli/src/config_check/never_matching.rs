use dotterelhook_state::config::ConfigDocument;
use dotterelhook_state::config::ServiceSettings;
use dotterelhook_types::ids::ConfigPath;

use super::CheckedConfig;
use super::Finding;
use super::FindingKind;
use super::PlatformFacts;

/// Returns the entries that no request, task or host can ever match.
pub(super) fn find_never_matching(
    config: &CheckedConfig,
    facts: Option<&PlatformFacts>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (path, document) in &config.documents {
        match document {
            ConfigDocument::Service(name, service) => {
                findings.extend(check_prefix(path, service));
                findings.extend(check_methods(path, service));
                if facts.is_some_and(|facts| !facts.services.contains(name)) {
                    let rule = format!("no target in the host list serves {name}");
                    findings.push(never(path, "", rule));
                }
            }
            ConfigDocument::Quota(_) if config.is_complete && !has_jobs(config, path) => {
                let rule = format!("team {} has no job that the quota limits", path.team());
                findings.push(never(path, "batch", rule));
            }
            ConfigDocument::Evacuation(domain, _) => {
                if facts.is_some_and(|facts| !facts.failure_domains.contains(domain)) {
                    let rule = format!("no host in the host list is in failure domain {domain}");
                    findings.push(never(path, "", rule));
                }
            }
            ConfigDocument::Job(..) | ConfigDocument::Quota(_) => {}
        }
    }
    findings
}

fn never(path: &ConfigPath, field: &str, rule: impl Into<Box<str>>) -> Finding {
    Finding::new(FindingKind::NeverMatches, path, field, rule)
}

/// Checks that the prefix can be part of a request's path, which ends before `?` and `#` and has only
/// visible ASCII characters.
fn check_prefix(path: &ConfigPath, service: &ServiceSettings) -> Option<Finding> {
    let is_foreign = |c: &char| !c.is_ascii_graphic() || matches!(c, '?' | '#');
    let foreign = service.path_prefix.chars().find(is_foreign)?;
    let rule = format!("no request's path contains {foreign:?}, unless it is percent-encoded");
    Some(never(path, "path_prefix", rule))
}

/// Checks the methods, which are compared with regard to case.
fn check_methods(path: &ConfigPath, service: &ServiceSettings) -> Vec<Finding> {
    let is_method = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_uppercase());
    let methods = service.idempotent_methods.iter().enumerate();
    let unknown = methods.filter(|(_, method)| !is_method(method));
    unknown
        .map(|(index, method)| {
            let field = format!("idempotent_methods[{index}]");
            let rule = match method.to_ascii_uppercase() {
                upper if is_method(&upper) => format!("methods are upper case: {upper}"),
                _ => "not the name of a method".to_owned(),
            };
            never(path, &field, rule)
        })
        .collect()
}

fn has_jobs(config: &CheckedConfig, quota: &ConfigPath) -> bool {
    let team = quota.team();
    let mut documents = config.documents.iter();
    documents
        .any(|(path, document)| matches!(document, ConfigDocument::Job(..)) && path.team() == team)
}
