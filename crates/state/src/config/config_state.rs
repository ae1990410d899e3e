use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use dotterelhook_types::document::FieldError;
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
use super::PublicationOutcome;
use super::Quota;
use super::Refusal;
use super::ServiceSettings;
use super::WriterId;
use super::publication_outcome::truncate_error;
use super::quota_rules::check_quota;
use super::recent_map::RecentMap;
use super::removals::Removals;
use super::service_index::ServiceIndex;

const RETAINED_OUTCOMES_MAX: usize = 1_000;
const RETAINED_WRITERS_MAX: usize = 1_000;
const PATHS_MAX: usize = 10_000;
/// Evacuations are exempt from the limit of the other paths, so that a full configuration does not keep
/// an operator from requesting one.
const EVACUATIONS_MAX: usize = 100;

/// The document in force at one path.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Offset of the publication that put the version in force.
    pub offset: Offset,
    /// The document's JSON as published.
    pub body: Arc<Value>,
    /// The validated document.
    pub document: Arc<ConfigDocument>,
}

/// The configuration after all records below `next_offset`. Clones share unchanged parts.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigState {
    pub(super) next_offset: Offset,
    pub(super) versions: Arc<BTreeMap<Arc<ConfigPath>, Version>>,
    pub(super) services: Arc<ServiceIndex>,
    pub(super) removals: Arc<Removals>,
    pub(super) writers: Arc<RecentMap<WriterId, Sequence>>,
    pub(super) outcomes: Arc<VecDeque<Arc<PublicationOutcome>>>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            next_offset: Offset::default(),
            versions: Arc::default(),
            services: Arc::default(),
            removals: Arc::default(),
            writers: Arc::new(RecentMap::new(RETAINED_WRITERS_MAX)),
            outcomes: Arc::default(),
        }
    }
}

impl ConfigState {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the versions in force by path.
    pub fn versions(&self) -> &BTreeMap<Arc<ConfigPath>, Version> {
        &self.versions
    }

    /// Returns the version of a path that is in force.
    pub fn version(&self, path: &ConfigPath) -> Option<&Version> {
        self.versions.get(path)
    }

    /// Returns the outcomes of the most recent publications, oldest first.
    pub fn outcomes(&self) -> &VecDeque<Arc<PublicationOutcome>> {
        &self.outcomes
    }

    /// Returns the base offset for a change of a path: the offset of the version in force, or else
    /// of the newest applied record.
    pub fn base_offset(&self, path: &ConfigPath) -> Option<Offset> {
        match self.versions.get(path) {
            Some(version) => Some(version.offset),
            None => self.next_offset.0.checked_sub(1).map(Offset),
        }
    }

    /// Returns the services in force, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSettings)> {
        self.services.iter()
    }

    /// Returns the settings of a service, if it is in force.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        self.services.get(name)
    }

    /// Returns the service with the longest path prefix that matches a request's path.
    ///
    /// Costs one map lookup per slash in the path, independent of the number of services.
    pub fn route(&self, path: &str) -> Option<(&ServiceName, &ServiceSettings)> {
        self.services.route(path)
    }

    /// Returns the settings of a team's batch job, if it is in force.
    pub fn job(&self, team: &TeamName, job: &JobName) -> Option<&BatchJob> {
        let path = format!("{team}/jobs/{job}").parse().ok()?;
        match &*self.version(&path)?.document {
            ConfigDocument::Job(_, settings) => Some(settings),
            _ => None,
        }
    }

    /// Returns a team's quota, if it has one.
    pub fn quota(&self, team: &TeamName) -> Option<Quota> {
        let path = format!("{team}/quota").parse().ok()?;
        match &*self.version(&path)?.document {
            ConfigDocument::Quota(quota) => Some(*quota),
            _ => None,
        }
    }

    /// Applies the record at the given offset. A record below the next offset has no effect.
    ///
    /// # Errors
    /// Returns the refusal of the publication and records it as the outcome, except for repeated
    /// records. A record beyond the next offset is refused with [`Refusal::Gap`] and not applied.
    pub fn apply(&mut self, offset: Offset, payload: &str) -> Result<(), Refusal> {
        let next_offset = self.next_offset;
        if offset < next_offset {
            return Ok(());
        }
        if offset > next_offset {
            return Err(Refusal::Gap { next_offset });
        }
        self.next_offset = offset.next();
        let publication = match Publication::parse(payload) {
            Ok(publication) => publication,
            Err(cause) => {
                let refusal = Refusal::Malformed { cause };
                self.record_outcome(PublicationOutcome::malformed(offset, refusal.clone()));
                return Err(refusal);
            }
        };
        let result = self.apply_publication(offset, &publication);
        if !matches!(result, Err(Refusal::Repeated { .. })) {
            let refusal = result.clone().err();
            self.record_outcome(PublicationOutcome::for_publication(
                offset,
                &publication,
                refusal,
            ));
        }
        result
    }

    fn apply_publication(
        &mut self,
        offset: Offset,
        publication: &Publication,
    ) -> Result<(), Refusal> {
        self.record_sequence(offset, publication)?;
        let path = &publication.path;
        let owner = path.team();
        if owner != publication.team {
            return Err(Refusal::OtherTeam { owner });
        }
        self.check_base(offset, publication)?;
        let Some(body) = &publication.body else {
            return self.remove_version(path, offset);
        };
        let document = ConfigDocument::check(path, body)
            .and_then(|document| check_quota(self, path, &document).map(|()| document))
            .map_err(|error| Refusal::Invalid(truncate_error(&error)))?;
        if let ConfigDocument::Service(name, settings) = &document {
            self.services
                .check_conflicts(path, name, &settings.path_prefix)?;
        }
        let paths_max = match &document {
            ConfigDocument::Evacuation(..) => PATHS_MAX + EVACUATIONS_MAX,
            _ => PATHS_MAX,
        };
        if self.versions.len() >= paths_max && !self.versions.contains_key(path) {
            return Err(Refusal::TooManyPaths { paths_max });
        }
        let body = Arc::new(body.clone());
        let document = Arc::new(document);
        self.install_version(
            path,
            Version {
                offset,
                body,
                document,
            },
        );
        Ok(())
    }

    fn record_sequence(
        &mut self,
        offset: Offset,
        publication: &Publication,
    ) -> Result<(), Refusal> {
        if let Some(&(_, last_sequence)) = self.writers.get(&publication.writer)
            && publication.sequence <= last_sequence
        {
            return Err(Refusal::Repeated { last_sequence });
        }
        let writers = Arc::make_mut(&mut self.writers);
        writers.insert(publication.writer.clone(), offset, publication.sequence);
        Ok(())
    }

    /// Checks that the publication is based on the current version of its path. Every publication
    /// passes at most once, even if its writer or the removal of its path is no longer retained.
    fn check_base(&self, offset: Offset, publication: &Publication) -> Result<(), Refusal> {
        let base = publication.base_offset;
        if base >= Some(offset) {
            let rule = "must be below the record's own offset";
            return Err(Refusal::Invalid(FieldError::new("base_offset", rule)));
        }
        let in_force = self.versions.get(&publication.path);
        let in_force_offset = in_force.map(|version| version.offset);
        let is_current = match in_force_offset {
            Some(_) => in_force_offset == base,
            None => self.removals.is_latest_observed(&publication.path, base),
        };
        if is_current {
            Ok(())
        } else {
            Err(Refusal::StaleBase { in_force_offset })
        }
    }

    fn remove_version(&mut self, path: &ConfigPath, offset: Offset) -> Result<(), Refusal> {
        if !self.versions.contains_key(path) {
            return Err(Refusal::NotInForce);
        }
        let old = Arc::make_mut(&mut self.versions).remove(path);
        let old = old.as_ref().map(|version| &version.document);
        Arc::make_mut(&mut self.services).update(path, old, None);
        Arc::make_mut(&mut self.removals).record(path.clone(), offset);
        Ok(())
    }

    /// Puts a validated version in force.
    pub(super) fn install_version(&mut self, path: &ConfigPath, version: Version) {
        let new = Arc::clone(&version.document);
        let versions = Arc::make_mut(&mut self.versions);
        let old = versions.insert(Arc::new(path.clone()), version);
        let old = old.map(|version| version.document);
        Arc::make_mut(&mut self.services).update(path, old.as_ref(), Some(&new));
        Arc::make_mut(&mut self.removals).discard(path);
    }

    /// Records an outcome and evicts the oldest one beyond the limit.
    pub(super) fn record_outcome(&mut self, outcome: PublicationOutcome) {
        let outcomes = Arc::make_mut(&mut self.outcomes);
        if outcomes.len() == RETAINED_OUTCOMES_MAX {
            outcomes.pop_front();
        }
        outcomes.push_back(Arc::new(outcome));
    }
}
