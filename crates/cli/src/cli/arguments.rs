use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_borders::log::HttpLog;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::ConfigPath;

const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// Why a command failed. The variant decides the exit code.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line or a file is invalid.
    Usage(String),
    /// The call failed; the verdict says whether it may have taken effect.
    Call(CallError),
    /// The change was refused or is not in force everywhere, or a report is incomplete.
    Refused(String),
    /// The configuration is valid, but has findings.
    Findings(String),
    /// Nothing matches the query, such as a job id without a log line.
    NotFound(String),
}

impl Failure {
    /// Creates a usage failure from the text of an error.
    pub(crate) fn usage(error: impl fmt::Display) -> Self {
        Self::Usage(error.to_string())
    }

    /// Returns the exit code of the process, 1 to 5.
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            Self::Call(error) if error.verdict == Verdict::MayHaveRun => 3,
            Self::Call(_) | Self::NotFound(_) => 1,
            Self::Usage(_) => 2,
            Self::Refused(_) => 4,
            Self::Findings(_) => 5,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text)
            | Self::Refused(text)
            | Self::Findings(text)
            | Self::NotFound(text) => f.write_str(text),
            Self::Call(error) => error.fmt(f),
        }
    }
}

impl From<CallError> for Failure {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

/// The command line of a command, with the options that several commands share.
pub(crate) struct CommonArguments {
    inner: pico_args::Arguments,
    /// Whether `--json` is set.
    pub(crate) is_json: bool,
    /// The time limit of a call, of a publication or of the wait for a rollout, from
    /// `--timeout-ms`.
    pub(crate) timeout: Duration,
}

impl CommonArguments {
    /// Parses the options that all commands share.
    pub(crate) fn parse(mut inner: pico_args::Arguments) -> Result<Self, Failure> {
        let is_json = inner.contains("--json");
        let timeout_ms: Option<u64> = inner
            .opt_value_from_str("--timeout-ms")
            .map_err(Failure::usage)?;
        let timeout = Duration::from_millis(timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
        Ok(Self {
            inner,
            is_json,
            timeout,
        })
    }

    /// Removes a flag from the arguments and returns whether it was set.
    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        self.inner.contains(key)
    }

    /// Returns the value of an option, if given.
    pub(crate) fn optional_value<T: FromStr>(
        &mut self,
        key: &'static str,
    ) -> Result<Option<T>, Failure>
    where
        T::Err: fmt::Display,
    {
        self.inner.opt_value_from_str(key).map_err(Failure::usage)
    }

    /// Returns a client of the log that `--log` names.
    pub(crate) fn log(&mut self) -> Result<HttpLog, Failure> {
        let address = self.inner.value_from_str("--log").map_err(Failure::usage)?;
        Ok(HttpLog::new(address, self.timeout))
    }

    /// Returns a client of the daemon whose admin address `--daemon` names.
    pub(crate) fn daemon(&mut self) -> Result<JsonClient, Failure> {
        let address: SocketAddr = self
            .inner
            .value_from_str("--daemon")
            .map_err(Failure::usage)?;
        Ok(JsonClient::new(address, self.timeout))
    }

    /// Returns a client of the daemon whose admin address `--daemon` names, if given.
    pub(crate) fn optional_daemon(&mut self) -> Result<Option<JsonClient>, Failure> {
        let address: Option<SocketAddr> = self
            .inner
            .opt_value_from_str("--daemon")
            .map_err(Failure::usage)?;
        Ok(address.map(|address| JsonClient::new(address, self.timeout)))
    }

    /// Returns the address of the host list that `--hosts` names, if given.
    pub(crate) fn hosts(&mut self) -> Result<Option<SocketAddr>, Failure> {
        let address = self.inner.opt_value_from_str("--hosts");
        address.map_err(Failure::usage)
    }

    /// Returns the paths that `--remove` names; the option may be repeated.
    pub(crate) fn removed_paths(&mut self) -> Result<Vec<ConfigPath>, Failure> {
        let paths = self.inner.values_from_str("--remove");
        paths.map_err(Failure::usage)
    }

    /// Removes the next positional argument and returns it, if there is one.
    pub(crate) fn next_positional(&mut self) -> Result<Option<String>, Failure> {
        self.inner.opt_free_from_str().map_err(Failure::usage)
    }

    /// Fails if unused arguments are left.
    pub(crate) fn finish(self) -> Result<(), Failure> {
        let rest = self.inner.finish();
        if rest.is_empty() {
            return Ok(());
        }
        Err(Failure::Usage(format!(
            "unknown arguments: {rest:?}; try --help"
        )))
    }
}
