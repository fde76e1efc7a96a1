//! The file and the environment variables of the configuration, and its values as they were read.

use super::error::{ConfigError, read_file};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// The variable that names the platform's file (JSON).
const PLATFORM_FILE_VARIABLE: &str = "LB_CONFIG";
/// The variable that names an operator's file (TOML).
const OPERATOR_FILE_VARIABLE: &str = "SANDDYKE_CONFIG";
/// The command line option that names a file.
const FILE_OPTION: &str = "--config";
/// Keys that environment variables override, with the names of the variables.
const KEY_VARIABLES: [(&str, &str); 3] = [("name", "LB_NAME"), ("listen", "LB_LISTEN"), ("ops", "LB_OPS")];
/// The keys that are read from the platform's file. The file also has keys of other programs, which may have the name
/// of a key of this program: one file had an `admin` that was an address. The features of the ignored keys are off on
/// the platform.
const PLATFORM_KEYS: [&str; 9] =
    ["name", "listen", "ops", "seed", "limits", "resolver", "service", "known", "settings"];

/// The source of the configuration.
#[derive(Debug, Clone)]
pub enum Source {
    /// The file that the variable `LB_CONFIG` names, or else the one that `SANDDYKE_CONFIG` names.
    Environment,
    /// A file: JSON if its name ends in `.json`, else TOML.
    File(PathBuf),
}

/// A configuration file, its format, and the variable or option that names it.
struct Location {
    key: &'static str,
    path: PathBuf,
    is_json: bool,
}

impl Source {
    /// Whether the platform provides the configuration. If so, it also decides who can connect to which address.
    pub fn is_platform(&self) -> bool {
        matches!(self, Source::Environment) && std::env::var_os(PLATFORM_FILE_VARIABLE).is_some()
    }

    /// Reads the file and applies the environment variables.
    pub(super) fn read(&self) -> Result<Value, ConfigError> {
        let location = self.location()?;
        let text = read_file(location.key, &location.path)?;
        let syntax = |reason: String| ConfigError::Syntax { key: location.key, reason };
        let mut value: Value = match location.is_json {
            true => serde_json::from_str(&text).map_err(|error| syntax(error.to_string()))?,
            false => toml::from_str(&text).map_err(|error| syntax(error.to_string()))?,
        };
        if let Some(keys) = value.as_object_mut() {
            if location.key == PLATFORM_FILE_VARIABLE {
                keys.retain(|key, _| PLATFORM_KEYS.contains(&key.as_str()));
            }
            for (key, variable) in KEY_VARIABLES {
                if let Ok(set) = std::env::var(variable) {
                    keys.insert(key.to_owned(), Value::String(set));
                }
            }
        }
        Ok(value)
    }

    fn location(&self) -> Result<Location, ConfigError> {
        let variable = |key: &str| std::env::var_os(key).map(PathBuf::from);
        match self {
            Source::File(path) => {
                let is_json = path.extension().is_some_and(|extension| extension == "json");
                Ok(Location { key: FILE_OPTION, path: path.clone(), is_json })
            }
            Source::Environment => {
                let platform = variable(PLATFORM_FILE_VARIABLE);
                let operator = variable(OPERATOR_FILE_VARIABLE);
                if let Some(path) = platform {
                    Ok(Location { key: PLATFORM_FILE_VARIABLE, path, is_json: true })
                } else if let Some(path) = operator {
                    Ok(Location { key: OPERATOR_FILE_VARIABLE, path, is_json: false })
                } else {
                    Err(ConfigError::Unset)
                }
            }
        }
    }
}

/// The values of a configuration as they were read. Two of them are compared to find the changed keys.
#[derive(Debug, Clone)]
pub struct RawConfig(pub(super) Value);

impl RawConfig {
    /// Returns the keys whose values differ from those of the earlier configuration `before`.
    pub fn changed_keys(&self, before: &RawConfig) -> Vec<String> {
        let keys: BTreeSet<String> = self.keys().chain(before.keys()).cloned().collect();
        keys.into_iter().filter(|key| self.0.get(key) != before.0.get(key)).collect()
    }

    fn keys(&self) -> impl Iterator<Item = &String> {
        self.0.as_object().into_iter().flat_map(|object| object.keys())
    }
}
