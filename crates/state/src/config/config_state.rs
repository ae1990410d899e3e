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
use super::publication_outcome::shorten_fault;
use super::quota_rules::check_quota;
use super::recent_map::RecentMap;
use super::removals::Removals;
use super::service_index::ServiceIndex;

const KEPT_OUTCOMES: usize = 1_000;
const KEPT_WRITERS: usize = 1_000;
const PATHS_MAX: usize = 10_000;

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

/// The configuration after all records below one offset; a copy shares what did not change.
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
            writers: Arc::new(RecentMap::new(KEPT_WRITERS)),
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

    /// Returns what became of the newest publications, oldest first.
    pub fn outcomes(&self) -> &VecDeque<Arc<PublicationOutcome>> {
        &self.outcomes
    }

    /// Returns the base for a change of a path: its version, or else the newest record read.
    pub fn base_offset(&self, path: &ConfigPath) -> Option<Offset> {
        match self.versions.get(path) {
            Some(version) => Some(version.offset),
            None => self.next_offset.0.checked_sub(1).map(Offset),
        }
    }

    /// Returns the services in force in order of their names.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSettings)> {
        self.services.iter()
    }

    /// Returns the settings of a service, if it is in force.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        self.services.get(name)
    }

    /// Returns the service with the longest prefix of a request's path.
    ///
    /// Costs one look-up for each slash of the path, whatever the number of services.
    pub fn route(&self, path: &str) -> Option<(&ServiceName, &ServiceSettings)> {
        self.services.route(path)
    }

    /// Returns a team's batch job.
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

    /// Applies the record at the given offset; offsets already applied change nothing.
    ///
    /// # Errors
    /// Returns why the publication was refused; the refusal is kept as its outcome. A record
    /// beyond the next offset is not applied at all.
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
                self.keep_outcome(PublicationOutcome::malformed(offset, refusal.clone()));
                return Err(refusal);
            }
        };
        let result = self.accept(offset, &publication);
        if !matches!(result, Err(Refusal::Repeated { .. })) {
            let refusal = result.clone().err();
            self.keep_outcome(PublicationOutcome::of(offset, &publication, refusal));
        }
        result
    }

    fn accept(&mut self, offset: Offset, publication: &Publication) -> Result<(), Refusal> {
        self.check_repeat(offset, publication)?;
        let path = &publication.path;
        let owner = path.team();
        if owner != publication.team {
            return Err(Refusal::OtherTeam { owner });
        }
        self.check_base(offset, publication)?;
        let Some(body) = &publication.body else {
            return self.remove(path, offset);
        };
        let document = ConfigDocument::check(path, body)
            .and_then(|document| check_quota(self, path, &document).map(|()| document))
            .map_err(|fault| Refusal::Invalid(shorten_fault(&fault)))?;
        if let ConfigDocument::Service(name, settings) = &document {
            self.services.check(path, name, &settings.path_prefix)?;
        }
        if self.versions.len() >= PATHS_MAX && !self.versions.contains_key(path) {
            let paths_max = PATHS_MAX;
            return Err(Refusal::TooManyPaths { paths_max });
        }
        let body = Arc::new(body.clone());
        let document = Arc::new(document);
        self.set(
            path,
            Version {
                offset,
                body,
                document,
            },
        );
        Ok(())
    }

    fn check_repeat(&mut self, offset: Offset, publication: &Publication) -> Result<(), Refusal> {
        if let Some(&(_, last_sequence)) = self.writers.get(&publication.writer)
            && publication.sequence <= last_sequence
        {
            return Err(Refusal::Repeated { last_sequence });
        }
        let writers = Arc::make_mut(&mut self.writers);
        writers.insert(publication.writer.clone(), offset, publication.sequence);
        Ok(())
    }

    /// Checks the base; a publication passes at most once, whatever is forgotten.
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
            None => self.removals.are_known_at(&publication.path, base),
        };
        if is_current {
            Ok(())
        } else {
            Err(Refusal::StaleBase { in_force_offset })
        }
    }

    fn remove(&mut self, path: &ConfigPath, offset: Offset) -> Result<(), Refusal> {
        if !self.versions.contains_key(path) {
            return Err(Refusal::NotInForce);
        }
        let old = Arc::make_mut(&mut self.versions).remove(path);
        let old = old.as_ref().map(|version| &version.document);
        Arc::make_mut(&mut self.services).replace(path, old, None);
        Arc::make_mut(&mut self.removals).add(path.clone(), offset);
        Ok(())
    }

    /// Puts a checked version in force.
    pub(super) fn set(&mut self, path: &ConfigPath, version: Version) {
        let new = Arc::clone(&version.document);
        let versions = Arc::make_mut(&mut self.versions);
        let old = versions.insert(Arc::new(path.clone()), version);
        let old = old.map(|version| version.document);
        Arc::make_mut(&mut self.services).replace(path, old.as_ref(), Some(&new));
        Arc::make_mut(&mut self.removals).drop_path(path);
    }

    /// Keeps an outcome in place of the oldest one.
    pub(super) fn keep_outcome(&mut self, outcome: PublicationOutcome) {
        let outcomes = Arc::make_mut(&mut self.outcomes);
        if outcomes.len() == KEPT_OUTCOMES {
            outcomes.pop_front();
        }
        outcomes.push_back(Arc::new(outcome));
    }
}
