use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use eyre::eyre;

/// A parser of a stand-in's command line, which holds the arguments not yet consumed.
#[derive(Debug)]
pub struct Arguments {
    inner: pico_args::Arguments,
}

impl Arguments {
    /// Takes the arguments of the current process.
    pub fn from_env() -> Self {
        Self {
            inner: pico_args::Arguments::from_env(),
        }
    }

    /// Consumes a required option and returns its value.
    ///
    /// # Errors
    /// The option is missing or malformed.
    pub fn required<T: FromStr>(&mut self, key: &'static str) -> eyre::Result<T>
    where
        T::Err: Display,
    {
        self.inner.value_from_str(key).map_err(|e| eyre!("{e}"))
    }

    /// Consumes an option and returns its value, or the default if the option is missing.
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

    /// Consumes a flag and returns whether it was given.
    pub fn flag(&mut self, key: &'static str) -> bool {
        self.inner.contains(key)
    }

    /// Checks that every argument was consumed.
    ///
    /// # Errors
    /// At least one argument is left; the error lists all that are.
    pub fn finish(self) -> eyre::Result<()> {
        let rest: Vec<OsString> = self.inner.finish();
        if rest.is_empty() {
            Ok(())
        } else {
            Err(eyre!("unknown arguments: {rest:?}"))
        }
    }
}
