use std::any::Any;
use std::any::type_name;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use eyre::OptionExt;

/// A registry of typed handles by name, through which services find each other.
#[derive(Default)]
pub struct Registry {
    handles: Mutex<HashMap<&'static str, Box<dyn Any + Send + Sync>>>,
}

impl Registry {
    /// Registers a handle under a name and replaces an earlier handle of that name.
    pub fn provide<T: ?Sized + Send + Sync + 'static>(&self, name: &'static str, handle: Arc<T>) {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.insert(name, Box::new(handle));
    }

    /// Returns the handle that is registered under a name.
    ///
    /// # Errors
    /// No handle is registered under the name, or the handle has a type other than `T`.
    pub fn find<T: ?Sized + Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> eyre::Result<Arc<T>> {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        let handle = handles
            .get(name)
            .ok_or_else(|| eyre::eyre!("no running service provides {name:?}"))?;
        let typed = handle.downcast_ref::<Arc<T>>();
        typed
            .cloned()
            .ok_or_eyre(format!("the handle {name:?} is not a {}", type_name::<T>()))
    }
}
