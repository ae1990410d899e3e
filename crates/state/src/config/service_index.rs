use std::collections::BTreeMap;
use std::sync::Arc;

use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::ServiceName;

use super::ConfigDocument;
use super::Refusal;
use super::ServiceSettings;

/// One service in force.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    path: ConfigPath,
    document: Arc<ConfigDocument>,
}

impl Entry {
    fn service(&self) -> Option<(&ServiceName, &ServiceSettings)> {
        match &*self.document {
            ConfigDocument::Service(name, settings) => Some((name, settings)),
            _ => None,
        }
    }
}

/// The services in force by name and by path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ServiceIndex {
    by_name: BTreeMap<ServiceName, Arc<Entry>>,
    by_prefix: BTreeMap<Box<str>, Arc<Entry>>,
}

impl ServiceIndex {
    /// Returns the services in order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSettings)> {
        self.by_name.values().filter_map(|entry| entry.service())
    }

    /// Returns the settings of a service.
    pub(super) fn get(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        let (_, settings) = self.by_name.get(name)?.service()?;
        Some(settings)
    }

    /// Returns the service with the longest prefix of a request's path.
    pub(super) fn route(&self, path: &str) -> Option<(&ServiceName, &ServiceSettings)> {
        let prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut found = prefixes.filter_map(|prefix| self.by_prefix.get(prefix));
        found.next()?.service()
    }

    /// Checks that a service takes neither a name nor requests of another one.
    pub(super) fn check(
        &self,
        path: &ConfigPath,
        name: &ServiceName,
        prefix: &str,
    ) -> Result<(), Refusal> {
        if let Some(entry) = self.by_name.get(name)
            && entry.path != *path
        {
            let by = entry.path.clone();
            return Err(Refusal::NameTaken { by });
        }
        match self.overlapping(path, prefix) {
            Some(by) => Err(Refusal::PrefixTaken { by: by.clone() }),
            None => Ok(()),
        }
    }

    /// Returns a service that has the prefix, or another team's that shares requests with it.
    fn overlapping(&self, path: &ConfigPath, prefix: &str) -> Option<&ConfigPath> {
        let outer = prefix
            .match_indices('/')
            .filter_map(|(at, _)| self.by_prefix.get_key_value(&prefix[..=at]));
        let inner = self
            .by_prefix
            .range::<str, _>((
                std::ops::Bound::Included(prefix),
                std::ops::Bound::Unbounded,
            ))
            .take_while(|(other, _)| other.starts_with(prefix));
        let team = path.team();
        let mut clashing = outer.chain(inner).filter(|(other, entry)| {
            entry.path != *path && (***other == *prefix || entry.path.team() != team)
        });
        clashing.next().map(|(_, entry)| &entry.path)
    }

    /// Sets or removes what a path declares; documents of other kinds change nothing.
    pub(super) fn replace(
        &mut self,
        path: &ConfigPath,
        old: Option<&Arc<ConfigDocument>>,
        new: Option<&Arc<ConfigDocument>>,
    ) {
        if let Some(ConfigDocument::Service(name, settings)) = old.map(|old| &**old) {
            self.by_name.remove(name);
            self.by_prefix.remove(&settings.path_prefix);
        }
        if let Some(document) = new
            && let ConfigDocument::Service(name, settings) = &**document
        {
            let entry = Arc::new(Entry {
                path: path.clone(),
                document: Arc::clone(document),
            });
            self.by_name.insert(name.clone(), Arc::clone(&entry));
            self.by_prefix.insert(settings.path_prefix.clone(), entry);
        }
    }
}
