//! Why the proxy does not start, or ends.

use crate::config::ConfigError;
use foldhitch_balancer::api::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Why the proxy does not start, or ends.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The balancer can't work by the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The system gives no reactor or timer.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal can't be waited for.
    #[error("{signal}: {source}")]
    Signal {
        /// The signal.
        signal: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// An address can't be listened at.
    #[error("{what}: {address}: {source}")]
    Listen {
        /// What it is for.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The task that serves clients has failed.
    #[error("listener: {0}")]
    Server(#[from] tokio::task::JoinError),
}
