//! Configuration errors.

use foldhitch_balancer::api::SettingsError;
use foldhitch_balancer::settings_format::SettingsFormatError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// The reason why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable that names the file is not set.
    #[error("RELAY_CONFIG is not set")]
    MissingVariable,
    /// The file can't be read.
    #[error("RELAY_CONFIG: {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A key is missing or has an invalid value. The source names the key's path.
    #[error("config: {0}")]
    InvalidKey(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// The settings can't be parsed.
    #[error("config: {0}")]
    SettingsFormat(#[from] SettingsFormatError),
    /// The balancer rejects the settings.
    #[error("config: {0}")]
    Settings(#[from] SettingsError),
    /// The proxy can't work with a value.
    #[error("config: {key}: {reason}")]
    InvalidValue {
        /// The key of the value.
        key: &'static str,
        /// What is wrong with the value.
        reason: &'static str,
    },
    /// An address is given in neither the environment nor the file.
    #[error("config: {key}: is missing")]
    MissingAddress {
        /// The key of the address.
        key: &'static str,
    },
    /// An address can't be parsed.
    #[error("config: {key}: {text}: {source}")]
    InvalidAddress {
        /// The key of the address.
        key: &'static str,
        /// The text that is not an address.
        text: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number.
    #[error("config: seed: not a hexadecimal number: {0}")]
    InvalidSeed(#[source] ParseIntError),
    /// A value differs from the one in force and can be changed only by a restart.
    #[error("config: {key}: needs a restart")]
    NeedsRestart {
        /// The key of the value.
        key: &'static str,
    },
}

impl ConfigError {
    /// Returns whether the error may pass without a new signal: the file could not be read, or it is not
    /// valid JSON, as while it is still being written. Such an error says nothing about the intended content.
    pub fn is_transient(&self) -> bool {
        match self {
            ConfigError::InvalidKey(source) => source.inner().is_eof() || source.inner().is_syntax(),
            _ => self.is_unreadable(),
        }
    }

    /// Returns whether the file could not be read.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, ConfigError::Unreadable { .. })
    }
}
