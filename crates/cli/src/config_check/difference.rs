use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use dotterelhook_state::config::ConfigDocument;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::ConfigPath;
use serde::Serialize;
use serde_json::Value;

/// A difference between the checked documents and a version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub(crate) enum Difference {
    /// The document is new.
    Added {
        /// The path of the document.
        path: ConfigPath,
    },
    /// One field differs.
    Changed {
        /// The path of the document.
        path: ConfigPath,
        /// The field within the document.
        field: Box<str>,
        /// The former value; absent if there was none.
        from: Option<Value>,
        /// The new value; absent if there is none.
        to: Option<Value>,
    },
    /// The directory lacks the document, which stays in force when the directory is published.
    Kept {
        /// The path of the document.
        path: ConfigPath,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { path } => write!(f, "{path}: new"),
            Self::Kept { path } => write!(f, "{path}: not given, stays in force"),
            Self::Changed {
                path,
                field,
                from,
                to,
            } => match (from, to) {
                (Some(from), Some(to)) => write!(f, "{path}: {field} changes from {from} to {to}"),
                (None, Some(to)) => write!(f, "{path}: {field} is set to {to}"),
                (Some(from), None) => write!(f, "{path}: {field} is left out, was {from}"),
                (None, None) => write!(f, "{path}: {field}"),
            },
        }
    }
}

/// Returns the differences of the checked documents from a version, ordered by path.
///
/// `is_directory` tells that documents which are not given should be named.
pub(crate) fn find_differences(
    checked: &BTreeMap<ConfigPath, Value>,
    base: &ConfigState,
    is_directory: bool,
) -> Vec<Difference> {
    let mut differences = Vec::new();
    let in_force = base.versions().keys().map(|path| ConfigPath::clone(path));
    let paths: BTreeSet<ConfigPath> = in_force.chain(checked.keys().cloned()).collect();
    for path in paths {
        match (base.version(&path), checked.get(&path)) {
            (None, _) => differences.push(Difference::Added { path }),
            (Some(version), Some(body)) => {
                compare(&path, "", Some(&version.body), Some(body), &mut differences);
            }
            (Some(version), None) => {
                let is_setting = !matches!(*version.document, ConfigDocument::Evacuation(..));
                if is_directory && is_setting {
                    differences.push(Difference::Kept { path });
                }
            }
        }
    }
    differences
}

fn compare(
    path: &ConfigPath,
    field: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    if from == to {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (from, to) else {
        differences.push(Difference::Changed {
            path: path.clone(),
            field: field.into(),
            from: from.cloned(),
            to: to.cloned(),
        });
        return;
    };
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let nested = match field {
            "" => key.clone(),
            field => format!("{field}.{key}"),
        };
        compare(path, &nested, old.get(key), new.get(key), differences);
    }
}
