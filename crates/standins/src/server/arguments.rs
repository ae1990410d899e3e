use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use eyre::eyre;

/// Named options of a stand-in's command line.
#[derive(Debug)]
pub struct Arguments {
    inner: pico_args::Arguments,
}

impl Arguments {
    /// Reads the process's own arguments.
    pub fn from_env() -> Self {
        Self {
            inner: pico_args::Arguments::from_env(),
        }
    }

    /// Returns a required option.
    ///
    /// # Errors
    /// The option is missing or malformed.
    pub fn required<T: FromStr>(&mut self, key: &'static str) -> eyre::Result<T>
    where
        T::Err: Display,
    {
        self.inner.value_from_str(key).map_err(|e| eyre!("{e}"))
    }

    /// Returns an option or its default.
    ///
    /// # Errors
    /// The option is malformed.
    pub fn optional<T: FromStr>(&mut self, key: &'static str, default: T) -> eyre::Result<T>
    where
        T::Err: Display,
    {
        let value = self
            .inner
            .opt_value_from_str(key)
            .map_err(|e| eyre!("{e}"))?;
        Ok(value.unwrap_or(default))
    }

    /// Returns whether a flag is set.
    pub fn flag(&mut self, key: &'static str) -> bool {
        self.inner.contains(key)
    }

    /// Checks that every argument was used.
    ///
    /// # Errors
    /// Names the arguments that no one asked for.
    pub fn finish(self) -> eyre::Result<()> {
        let rest: Vec<OsString> = self.inner.finish();
        if rest.is_empty() {
            Ok(())
        } else {
            Err(eyre!("unknown arguments: {rest:?}"))
        }
    }
}
