//! Profiles: the address of a service and the credentials for its API.

use crate::arguments::Arguments;
use crate::error::CommandError;
use sanddyke_client::{Client, Identity, Options};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Path of the default profile file, relative to the home directory.
const DEFAULT_FILE: &str = ".config/sanddyke/ctl.toml";
/// Name of the profile that is used if the file has several and `--profile` is not set.
const DEFAULT_PROFILE: &str = "default";

/// Contents of a profile file (TOML): the profiles by name.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ProfileFile {
    profiles: BTreeMap<String, Profile>,
}

/// The address of a service and the credentials for its API.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Profile {
    url: Option<String>,
    token_file: Option<PathBuf>,
    ca: Option<PathBuf>,
    certificate: Option<PathBuf>,
    private_key: Option<PathBuf>,
}

/// Reads a file; `-` is standard input.
pub fn read_file(path: &Path) -> Result<String, CommandError> {
    let contents = match path.as_os_str() == "-" {
        true => std::io::read_to_string(std::io::stdin()),
        false => std::fs::read_to_string(path),
    };
    contents.map_err(|error| CommandError::File { path: path.to_owned(), reason: error.to_string() })
}

/// Creates the API client. Arguments take precedence over the profile.
pub fn client(arguments: &Arguments) -> Result<Client, CommandError> {
    let profile = select_profile(arguments)?;
    let url = arguments.url.clone().or(profile.url);
    let url = url.ok_or_else(|| {
        CommandError::Usage("service address not set: use --url or a profile with `url`".to_owned())
    })?;
    let token_file = arguments.token_file.as_ref().or(profile.token_file.as_ref());
    let token = match (&arguments.token, token_file) {
        (Some(token), _) => token.clone(),
        (None, Some(path)) => read_file(path)?.trim().to_owned(),
        (None, None) => {
            return Err(CommandError::Usage(
                "token not set: use --token-file or a profile with `token_file`".to_owned(),
            ));
        }
    };
    let identity = profile.certificate.zip(profile.private_key);
    let identity = identity.map(|(certificate, private_key)| Identity { certificate, private_key });
    Ok(Client::new(Options { url, token, ca: profile.ca, identity })?)
}

/// Returns the profile that `--profile` names, else the only one, else the default one. Without a profile file the
/// profile is empty.
fn select_profile(arguments: &Arguments) -> Result<Profile, CommandError> {
    let Some(path) = arguments.profiles.clone().or_else(default_file) else {
        return Ok(Profile::default());
    };
    let invalid = |reason: String| CommandError::File { path: path.clone(), reason };
    let file: ProfileFile = toml::from_str(&read_file(&path)?).map_err(|error| invalid(error.to_string()))?;
    let mut profiles = file.profiles;
    if let Some(name) = &arguments.profile {
        return profiles.remove(name).ok_or_else(|| invalid(format!("the file has no profile {name:?}")));
    }
    if profiles.len() == 1 {
        return Ok(profiles.into_values().next().unwrap_or_default());
    }
    let profile = profiles.remove(DEFAULT_PROFILE);
    profile.ok_or_else(|| {
        invalid(format!("the file has no profile {DEFAULT_PROFILE:?} and --profile is not set"))
    })
}

/// Path of the default profile file; `None` if it does not exist or `HOME` is not set.
fn default_file() -> Option<PathBuf> {
    let home = std::env::var_os("HOME")?;
    Some(PathBuf::from(home).join(DEFAULT_FILE)).filter(|path| path.exists())
}
