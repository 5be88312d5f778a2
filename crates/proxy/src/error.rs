//! Errors that prevent the start of the proxy or end it.

use crate::config::ConfigError;
use foldhitch_balancer::api::SettingsError;
use std::io;
use std::net::SocketAddr;

/// An error that prevents the start of the proxy or ends it.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The configuration is invalid or can't be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The tokio runtime could not be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("cannot handle {signal}: {source}")]
    Signal {
        /// The name of the signal.
        signal: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An address could not be bound or listened on.
    #[error("{what}: cannot listen on {address}: {source}")]
    Listen {
        /// The configuration key of the address.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The task that serves clients panicked or was cancelled.
    #[error("the listener failed: {0}")]
    Server(#[from] tokio::task::JoinError),
}
