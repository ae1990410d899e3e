use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::TeamName;
use serde_json::Value;

use super::BatchJob;
use super::ConfigDocument;
use super::Publication;
use super::Quota;
use super::Refusal;
use super::ServiceSettings;
use super::publication::WriterId;

const KEPT_OUTCOMES: usize = 1_000;
const KEPT_WRITERS: usize = 1_000;

/// The version of one path that is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// The offset of the publication that set it.
    pub offset: Offset,
    /// The document as published.
    pub body: Arc<Value>,
    /// The document, checked.
    pub document: Arc<ConfigDocument>,
}

/// What became of one publication.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The offset of the record.
    pub offset: Offset,
    /// The path; absent if the record was malformed.
    pub path: Option<ConfigPath>,
    /// The writer and its sequence; absent if the record was malformed.
    pub writer: Option<(WriterId, Sequence)>,
    /// Why it was refused; absent if it was accepted.
    pub refusal: Option<Refusal>,
}

/// The configuration after all records below one offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    next_offset: Offset,
    versions: BTreeMap<ConfigPath, Version>,
    writers: BTreeMap<WriterId, (Sequence, Offset)>,
    outcomes: VecDeque<Outcome>,
}

impl ConfigState {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the versions in force by path.
    pub fn versions(&self) -> &BTreeMap<ConfigPath, Version> {
        &self.versions
    }

    /// Returns what became of the newest publications, oldest first.
    pub fn outcomes(&self) -> &VecDeque<Outcome> {
        &self.outcomes
    }

    /// Returns the services in force.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSettings)> {
        self.versions
            .values()
            .filter_map(|version| match &*version.document {
                ConfigDocument::Service(name, settings) => Some((name, settings)),
                _ => None,
            })
    }

    /// Returns a team's batch job.
    pub fn job(&self, team: &TeamName, job: &JobName) -> Option<&BatchJob> {
        let path = format!("{team}/jobs/{job}").parse().ok()?;
        match &*self.versions.get::<ConfigPath>(&path)?.document {
            ConfigDocument::Job(_, settings) => Some(settings),
            _ => None,
        }
    }

    /// Returns a team's quota, if it has one.
    pub fn quota(&self, team: &TeamName) -> Option<Quota> {
        let path = format!("{team}/quota").parse().ok()?;
        match &*self.versions.get::<ConfigPath>(&path)?.document {
            ConfigDocument::Quota(quota) => Some(*quota),
            _ => None,
        }
    }

    /// Applies the record at the given offset; offsets already applied change nothing.
    ///
    /// # Errors
    /// Returns why the publication was refused; the refusal is kept as its outcome.
    pub fn apply(&mut self, offset: Offset, payload: &str) -> Result<(), Refusal> {
        if offset < self.next_offset {
            return Ok(());
        }
        self.next_offset = offset.next();
        let decoded = serde_json::from_str::<Publication>(payload);
        let publication = match decoded {
            Ok(publication) => publication,
            Err(error) => {
                let refusal = Refusal::Malformed {
                    cause: error.to_string().into(),
                };
                self.keep_outcome(Outcome {
                    offset,
                    path: None,
                    writer: None,
                    refusal: Some(refusal.clone()),
                });
                return Err(refusal);
            }
        };
        let result = self.accept(offset, &publication);
        if !matches!(result, Err(Refusal::Repeated { .. })) {
            self.keep_outcome(Outcome {
                offset,
                path: Some(publication.path),
                writer: Some((publication.writer, publication.sequence)),
                refusal: result.clone().err(),
            });
        }
        result
    }

    fn accept(&mut self, offset: Offset, publication: &Publication) -> Result<(), Refusal> {
        self.check_repeat(offset, publication)?;
        let owner = publication.path.team();
        if owner != publication.team {
            return Err(Refusal::OtherTeam { owner });
        }
        let in_force_offset = self.versions.get(&publication.path).map(|v| v.offset);
        if in_force_offset != publication.base_offset {
            return Err(Refusal::StaleBase { in_force_offset });
        }
        let Some(body) = &publication.body else {
            self.versions.remove(&publication.path);
            return Ok(());
        };
        let document = ConfigDocument::check(&publication.path, body).map_err(Refusal::Invalid)?;
        self.check_prefix(&publication.path, &document)?;
        let version = Version {
            offset,
            body: Arc::new(body.clone()),
            document: Arc::new(document),
        };
        self.versions.insert(publication.path.clone(), version);
        Ok(())
    }

    fn check_repeat(&mut self, offset: Offset, publication: &Publication) -> Result<(), Refusal> {
        if let Some(&(last_sequence, _)) = self.writers.get(&publication.writer)
            && publication.sequence <= last_sequence
        {
            return Err(Refusal::Repeated { last_sequence });
        }
        self.writers
            .insert(publication.writer.clone(), (publication.sequence, offset));
        if self.writers.len() > KEPT_WRITERS {
            let oldest = self.writers.iter().min_by_key(|(_, (_, offset))| *offset);
            let oldest = oldest.map(|(writer, _)| writer.clone());
            oldest.and_then(|writer| self.writers.remove(&writer));
        }
        Ok(())
    }

    fn check_prefix(&self, path: &ConfigPath, document: &ConfigDocument) -> Result<(), Refusal> {
        let ConfigDocument::Service(_, settings) = document else {
            return Ok(());
        };
        let takes_prefix = |(other, version): &(&ConfigPath, &Version)| {
            matches!(&*version.document, ConfigDocument::Service(_, taken)
                if taken.path_prefix == settings.path_prefix)
                && *other != path
        };
        match self.versions.iter().find(takes_prefix) {
            Some((by, _)) => Err(Refusal::PrefixTaken { by: by.clone() }),
            None => Ok(()),
        }
    }

    fn keep_outcome(&mut self, outcome: Outcome) {
        if self.outcomes.len() == KEPT_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(outcome);
    }
}
