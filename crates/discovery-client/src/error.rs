//! What may go wrong with a poll.

use hyper::StatusCode;
use std::io;
use std::net::SocketAddr;

/// Why a poll failed, or what is wrong with its answer.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// Discovery could not be connected to.
    #[error("{address}: {source}")]
    Connect {
        /// Where it should be.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A connection was not made in time.
    #[error("{address}: no connection in time")]
    ConnectTimeout {
        /// Where discovery should be.
        address: SocketAddr,
    },
    /// The connection broke, or what came over it is no HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The poll could not be written.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// No answer came in time.
    #[error("no answer in time")]
    ResponseTimeout,
    /// An answer began and did not end in time.
    #[error("an answer that stops short")]
    BodyTimeout,
    /// The body of an answer could not be read, or is too long.
    #[error("{0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// An answer with another status than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The answer holds no list.
    #[error("list: {0}")]
    InvalidList(#[source] serde_json::Error),
    /// A list that names nobody while backends serve, and is older than one that was had before.
    #[error("a list that names nobody, the last one stays in use")]
    StaleEmptyList,
    /// A list that names nobody while backends serve; it holds unless the next one is another.
    #[error("version {version} names nobody, the list is polled again at once")]
    UnconfirmedEmptyList {
        /// Its version.
        version: u64,
    },
    /// A list older than the one that the poll named.
    #[error("version {received} after {polled}, the last list stays in use")]
    StaleVersion {
        /// Its version.
        received: u64,
        /// The version that the poll named.
        polled: u64,
    },
    /// Lists older than one that was had before, for so long that discovery must count its versions anew.
    #[error("version {received} after {newest} again and again, the whole list is polled and holds as it is")]
    RestartedVersions {
        /// The version that is dropped.
        received: u64,
        /// The latest one had before.
        newest: u64,
    },
    /// Endpoints that can't be read; the others hold.
    #[error("{count} entries passed over, such as {example}")]
    SkippedEndpoints {
        /// How many.
        count: usize,
        /// The last of them, and why.
        example: EndpointError,
    },
}

/// Why an endpoint of a list can't be read.
#[derive(Debug, thiserror::Error)]
pub enum EndpointError {
    /// A key is missing or holds no such value.
    #[error("{value}: {source}")]
    Malformed {
        /// The endpoint as it came.
        value: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// It takes requests, and has no address.
    #[error("{name}: no address")]
    MissingAddress {
        /// Its name.
        name: String,
    },
}
