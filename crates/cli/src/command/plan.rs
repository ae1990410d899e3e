use std::collections::BTreeMap;
use std::sync::Arc;

use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::DocumentKind;
use dotterelhook_state::config::Publication;
use dotterelhook_state::config::PublicationOutcome;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use serde_json::Value;

/// A change of one path: a new or changed document, or a removal if `body` is `None`.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Change {
    path: ConfigPath,
    base_offset: Option<Offset>,
    is_new: bool,
    body: Option<Value>,
}

/// The ordered changes that lead from the configuration in force to the desired one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Plan {
    changes: Vec<Change>,
}

impl Plan {
    /// Compares the desired documents with the configuration in force.
    ///
    /// A path without a document stays in force unless `removed` names the path.
    pub(super) fn new(
        state: &ConfigState,
        documents: BTreeMap<ConfigPath, Value>,
        removed: &[ConfigPath],
    ) -> Self {
        let removals = removed.iter().map(|path| (path.clone(), None));
        let desired = documents.into_iter().map(|(path, body)| (path, Some(body)));
        let changes = removals.chain(desired).filter_map(|(path, body)| {
            let version = state.version(&path);
            if version.is_some_and(|version| Some(&*version.body) == body.as_ref()) {
                return None;
            }
            Some(Change {
                base_offset: state.base_offset(&path),
                is_new: version.is_none(),
                path,
                body,
            })
        });
        let mut plan = Self {
            changes: changes.collect(),
        };
        plan.sort_changes(state);
        plan
    }

    /// Returns whether the configuration in force already equals the desired one.
    pub(super) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the number of changes, which is also the number of records.
    pub(super) fn len(&self) -> usize {
        self.changes.len()
    }

    /// Prints one line for each change to the standard output.
    pub(super) fn print(&self) {
        if self.is_empty() {
            println!("nothing differs");
        }
        for change in &self.changes {
            let path = &change.path;
            match (&change.body, change.base_offset) {
                (None, _) => println!("remove {path}"),
                (Some(_), Some(offset)) if !change.is_new => {
                    println!("change {path} (version {offset})");
                }
                (Some(_), _) => println!("add    {path}"),
            }
        }
    }

    /// Returns the records of the changes, numbered from 1 in the sequence of the writer.
    pub(super) fn payloads(&self, writer: &str) -> Vec<Box<str>> {
        let numbered = self.changes.iter().zip(1..);
        let payloads = numbered.map(|(change, sequence)| {
            let publication = Publication {
                writer: writer.into(),
                sequence: Sequence(sequence),
                team: change.path.team(),
                path: change.path.clone(),
                base_offset: change.base_offset,
                body: change.body.clone(),
            };
            let text = serde_json::to_string(&publication);
            text.expect("a publication serializes to JSON").into()
        });
        payloads.collect()
    }

    /// Returns the refusals of applying the plan to `state`.
    ///
    /// The prediction holds if nobody else publishes before the plan is appended.
    pub(super) fn expected_refusals(&self, state: &ConfigState) -> Vec<Arc<PublicationOutcome>> {
        let mut state = state.clone();
        let mut refusals = Vec::new();
        for payload in self.payloads("plan") {
            let offset = state.next_offset();
            if state.apply(offset, &payload).is_err() {
                refusals.extend(state.outcomes().back().cloned());
            }
        }
        refusals
    }

    /// Puts removals before documents, and quotas first within both.
    ///
    /// If that order is refused, quotas go last: quotas that shrink pass only after their jobs.
    fn sort_changes(&mut self, state: &ConfigState) {
        let is_quota = |change: &Change| {
            matches!(
                DocumentKind::try_from(&change.path),
                Ok(DocumentKind::Quota(_))
            )
        };
        let by_kind = |change: &Change| (change.body.is_some(), !is_quota(change));
        self.changes.sort_by_key(by_kind);
        if self.expected_refusals(state).is_empty() {
            return;
        }
        let mut quotas_last = self.clone();
        quotas_last.changes.sort_by_key(is_quota);
        if quotas_last.expected_refusals(state).is_empty() {
            *self = quotas_last;
        }
    }
}
