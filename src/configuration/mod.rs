//! TOML configuration files of the roles other than the proxy. An unknown or malformed key is an error that names its
//! path.
//!
//! The proxy reads the JSON file that `LB_CONFIG` names instead, as PROTOCOL and DEPLOY require. The list service, the
//! release controller and other roles have one TOML file each, loaded by [`load`].

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why a configuration file was refused. Every variant names the file, and all but [`ConfigError::Unreadable`] the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file as named on the command line.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, or one key is unknown, missing or of the wrong type.
    #[error("{}: key `{key}`: {cause}", path.display())]
    Malformed {
        /// The file as named on the command line.
        path: PathBuf,
        /// Dotted path of the key at fault, `.` for the top level of the file.
        key: String,
        /// What is wrong with it, in the words of the parser.
        cause: String,
    },
    /// Every key is well formed, but the value of one is not valid, possibly in combination with others.
    #[error("{}: key `{key}`: {cause}", path.display())]
    Invalid {
        /// The file as named on the command line.
        path: PathBuf,
        /// Dotted path of the key at fault.
        key: String,
        /// Why its value can't be used.
        cause: String,
    },
}

impl ConfigError {
    /// A [`ConfigError::Invalid`] for the value of `key`.
    pub fn invalid(path: &Path, key: impl Into<String>, cause: impl Into<String>) -> Self {
        Self::Invalid { path: path.to_owned(), key: key.into(), cause: cause.into() }
    }
}

/// Reads a TOML file into `T`. A key that `T` does not have is an error rather than ignored, at any depth, so `T` needs
/// no `deny_unknown_fields`.
///
/// # Errors
/// [`ConfigError::Unreadable`] if the file can't be read, [`ConfigError::Malformed`] with the path of the key if it is
/// not TOML or does not match `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
    parse(path, &text)
}

/// As [`load`], on text that is already read; `path` is used in errors only.
///
/// # Errors
/// [`ConfigError::Malformed`] as for [`load`].
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, ConfigError> {
    let malformed = |key: String, cause: String| ConfigError::Malformed {
        path: path.to_owned(),
        key: if key.is_empty() { ".".to_owned() } else { key },
        cause,
    };
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|e| malformed(String::new(), e.message().to_owned()))?;
    let mut unknown: Option<String> = None;
    let mut record_unknown = |path: serde_ignored::Path<'_>| {
        unknown.get_or_insert(path.to_string());
    };
    let tracked = serde_ignored::Deserializer::new(deserializer, &mut record_unknown);
    let value = serde_path_to_error::deserialize(tracked).map_err(|e| {
        let key = e.path().to_string();
        let cause = e.into_inner().message().to_owned();
        malformed(if key == "." { String::new() } else { key }, cause)
    })?;
    match unknown {
        Some(key) => Err(malformed(key, "no such key".to_owned())),
        None => Ok(value),
    }
}

#[cfg(test)]
mod tests;
