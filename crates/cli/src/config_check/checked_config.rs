use std::collections::BTreeMap;

use dotterelhook_state::config::ConfigDocument;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::ConfigPath;
use serde_json::Value;

use super::Finding;
use super::PlatformFacts;
use super::contradictions::find_contradictions;
use super::never_matching::find_never_matching;

/// The configuration that would be in force once the checked documents are published.
#[derive(Clone, Debug)]
pub(crate) struct CheckedConfig {
    /// All documents, the checked ones and those that stay in force.
    pub(super) documents: BTreeMap<ConfigPath, ConfigDocument>,
    /// Whether all documents are known, so that a missing one means something.
    pub(super) is_complete: bool,
    /// The documents that were given.
    checked: BTreeMap<ConfigPath, Value>,
}

impl CheckedConfig {
    /// Creates the configuration from valid documents and the version that they are checked against.
    ///
    /// `is_complete` tells that no other documents will be in force.
    pub(crate) fn new(
        checked: &BTreeMap<ConfigPath, Value>,
        base: Option<&ConfigState>,
        is_complete: bool,
    ) -> Self {
        let versions = base.into_iter().flat_map(|base| base.versions().iter());
        let mut documents: BTreeMap<ConfigPath, ConfigDocument> = versions
            .map(|(path, version)| {
                (
                    ConfigPath::clone(path),
                    ConfigDocument::clone(&version.document),
                )
            })
            .collect();
        for (path, body) in checked {
            if let Ok(document) = ConfigDocument::check(path, body) {
                documents.insert(path.clone(), document);
            }
        }
        Self {
            documents,
            is_complete,
            checked: checked.clone(),
        }
    }

    /// Returns the findings that involve a checked document, and evacuations that match nothing.
    pub(crate) fn findings(&self, facts: Option<&PlatformFacts>) -> Vec<Finding> {
        let mut findings = find_never_matching(self, facts);
        findings.extend(find_contradictions(self, facts));
        let is_checked = |path: &ConfigPath| self.checked.contains_key(path);
        findings.retain(|finding| {
            let is_evacuation = matches!(
                self.documents.get(&finding.path),
                Some(ConfigDocument::Evacuation(..))
            );
            is_evacuation
                || is_checked(&finding.path)
                || finding.other.as_ref().is_some_and(is_checked)
        });
        findings
    }
}
