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
            .ok_or_else(|| format!("the variable {variable} is not set").into()),
        None => arguments
            .value_from_os_str("--settings", |text| Ok::<_, String>(PathBuf::from(text)))
            .map_err(|error| error.to_string().into()),
    }
}
