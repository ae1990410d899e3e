use std::path::PathBuf;

/// The parsed command line.
pub(super) enum Arguments {
    /// Print the help text and exit.
    Help,
    /// Run the daemon, or only check its settings.
    Run {
        /// The path of the settings file.
        settings: PathBuf,
        /// Whether to exit once the settings are checked.
        only_check: bool,
    },
}

impl Arguments {
    /// Parses the process's arguments.
    ///
    /// # Errors
    /// An argument is unknown or missing, or the named environment variable is not set.
    pub(super) fn from_env() -> Result<Self, Box<str>> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        let only_check = arguments.contains("--check");
        let settings = read_settings_path(&mut arguments)?;
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

fn read_settings_path(arguments: &mut pico_args::Arguments) -> Result<PathBuf, Box<str>> {
    let variable: Option<String> = arguments
        .opt_value_from_str("--settings-from")
        .map_err(|error| error.to_string())?;
    match variable {
        Some(variable) => std::env::var_os(&variable)
            .map(PathBuf::from)
            .ok_or_else(|| format!("environment variable {variable} is not set").into()),
        None => arguments
            .value_from_os_str("--settings", |text| Ok::<_, String>(PathBuf::from(text)))
            .map_err(|error| error.to_string().into()),
    }
}
