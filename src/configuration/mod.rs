//! Configuration files of the parts that are not the proxy: TOML, read through serde, with every unknown or
//! malformed key refused by its path.
//!
//! The proxy keeps the JSON file that `LB_CONFIG` names (PROTOCOL and DEPLOY bind it); the list service,
//! the release controller and later parts take a TOML file each, loaded by [`load`].

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why a configuration file was not taken. Every variant names the file; a malformed one names the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read at all.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file as named on the command line.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file was read but one key is unknown, missing or of the wrong kind.
    #[error("{}: key `{key}`: {cause}", path.display())]
    Malformed {
        /// The file as named on the command line.
        path: PathBuf,
        /// Dotted path of the key at fault, `.` for the top of the file.
        key: String,
        /// What is wrong with it, as the parser words it.
        cause: String,
    },
    /// Every key is well formed, but together they say something that can't be done.
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
    /// A value that parsed but can't be used, by the key that holds it.
    pub fn invalid(path: &Path, key: impl Into<String>, cause: impl Into<String>) -> Self {
        Self::Invalid { path: path.to_owned(), key: key.into(), cause: cause.into() }
    }
}

/// Reads a TOML file into `T`. A key that `T` does not have is refused rather than left aside, wherever in the
/// file it stands, so `T` needs no `deny_unknown_fields`.
///
/// # Errors
/// [`ConfigError::Unreadable`] when the file can't be read, [`ConfigError::Malformed`] with the key's path
/// when it is no TOML or does not fit `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
    parse(path, &text)
}

/// [`load`] on text already read; `path` only names it in errors.
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
