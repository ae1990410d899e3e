use std::collections::BTreeMap;
use std::sync::Arc;

use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::ServiceName;

use super::ConfigDocument;
use super::Refusal;
use super::ServiceSettings;

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

/// Index of the services in force by name and by path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ServiceIndex {
    by_name: BTreeMap<ServiceName, Arc<Entry>>,
    by_prefix: BTreeMap<Box<str>, Arc<Entry>>,
}

impl ServiceIndex {
    /// Returns the services ordered by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSettings)> {
        self.by_name.values().filter_map(|entry| entry.service())
    }

    pub(super) fn get(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        let (_, settings) = self.by_name.get(name)?.service()?;
        Some(settings)
    }

    /// Returns the service with the longest path prefix that matches a request's path.
    pub(super) fn route(&self, path: &str) -> Option<(&ServiceName, &ServiceSettings)> {
        let prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut found = prefixes.filter_map(|prefix| self.by_prefix.get(prefix));
        found.next()?.service()
    }

    /// Checks that a service conflicts with no other service in name or path prefix.
    pub(super) fn check_conflicts(
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
        match self.find_prefix_conflict(path, prefix) {
            Some(by) => Err(Refusal::PrefixTaken { by: by.clone() }),
            None => Ok(()),
        }
    }

    /// Returns a service with the same prefix, or another team's service with an overlapping one.
    fn find_prefix_conflict(&self, path: &ConfigPath, prefix: &str) -> Option<&ConfigPath> {
        let enclosing = prefix
            .match_indices('/')
            .filter_map(|(at, _)| self.by_prefix.get_key_value(&prefix[..=at]));
        let nested = self
            .by_prefix
            .range::<str, _>((
                std::ops::Bound::Included(prefix),
                std::ops::Bound::Unbounded,
            ))
            .take_while(|(other, _)| other.starts_with(prefix));
        let team = path.team();
        let mut conflicting = enclosing.chain(nested).filter(|(other, entry)| {
            entry.path != *path && (***other == *prefix || entry.path.team() != team)
        });
        conflicting.next().map(|(_, entry)| &entry.path)
    }

    /// Replaces a path's old document by its new one. Documents that are not services have no
    /// effect.
    pub(super) fn update(
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
