use std::path::PathBuf;

/// What the command line asks for.
pub(super) enum Arguments {
    /// Print the help.
    Help,
    /// Run the daemon, or only check its settings.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Whether to exit after the check.
        only_check: bool,
    },
}

impl Arguments {
    /// Reads the process's arguments.
    pub(super) fn from_env() -> Result<Self, Box<str>> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        let only_check = arguments.contains("--check");
        let settings = arguments
            .value_from_os_str("--settings", |text| Ok::<_, String>(PathBuf::from(text)))
            .map_err(|error| error.to_string())?;
        let rest = arguments.finish();
        if !rest.is_empty() {
            return Err(format!("unknown arguments: {rest:?}").into());
        }
        Ok(Self::Run {
            settings,
            only_check,
        })
    }
}
