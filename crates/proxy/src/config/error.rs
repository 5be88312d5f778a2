//! Errors of the configuration.

use foldhitch_balancer::api::SettingsError;
use foldhitch_balancer::settings_format::SettingsFormatError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("RELAY_CONFIG is not set")]
    MissingVariable,
    /// The file can't be read.
    #[error("RELAY_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// A key is missing or holds no such value; the source names its path.
    #[error("config: {0}")]
    InvalidKey(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// The settings can't be read.
    #[error("config: {0}")]
    SettingsFormat(#[from] SettingsFormatError),
    /// The settings can't be put in force.
    #[error("config: {0}")]
    Settings(#[from] SettingsError),
    /// A value that the proxy can't work with.
    #[error("config: {key}: {reason}")]
    InvalidValue {
        /// Its key.
        key: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// An address is in neither the environment nor the file.
    #[error("config: {key}: is missing")]
    MissingAddress {
        /// Its key.
        key: &'static str,
    },
    /// A text is no address.
    #[error("config: {key}: {text}: {source}")]
    InvalidAddress {
        /// Its key.
        key: &'static str,
        /// The text.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The seed is no hexadecimal number.
    #[error("config: seed: {0}")]
    InvalidSeed(#[source] ParseIntError),
    /// Only a start can change this.
    #[error("config: {key}: needs a restart")]
    NeedsRestart {
        /// Its key.
        key: &'static str,
    },
}

impl ConfigError {
    /// Whether the file could not be read or is not whole, which may pass by itself. It says nothing then about what the
    /// file is to hold.
    pub fn is_transient(&self) -> bool {
        match self {
            ConfigError::InvalidKey(source) => source.inner().is_eof() || source.inner().is_syntax(),
            _ => self.is_unreadable(),
        }
    }

    /// Whether the file could not be read.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, ConfigError::Unreadable { .. })
    }
}
