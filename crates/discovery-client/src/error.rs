//! Errors of polls.

use hyper::StatusCode;
use std::io;
use std::net::SocketAddr;

/// An error of a poll, or a warning about its response.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection to discovery failed.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// The address of discovery.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection to discovery was not established in time.
    #[error("connect timeout for {address}")]
    ConnectTimeout {
        /// The address of discovery.
        address: SocketAddr,
    },
    /// The connection broke, or the response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// No response was received in time.
    #[error("timed out waiting for the response")]
    ResponseTimeout,
    /// The response started and was not completed in time.
    #[error("timed out reading the response body")]
    BodyTimeout,
    /// The response body could not be read or is too long.
    #[error("cannot read the response body: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The status of the response is not 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The response body is not an endpoint list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[source] serde_json::Error),
    /// A full list is empty while backends are serving, and older than a list received before.
    #[error("ignored an empty full list older than one received before; the current list stays in use")]
    StaleEmptyList,
    /// A full list is empty while backends are serving. It is applied unless the next poll returns another.
    #[error("version {version} is an empty full list; polling again at once to confirm it")]
    UnconfirmedEmptyList {
        /// The version of the list.
        version: u64,
    },
    /// The list is older than the version that the poll named.
    #[error("version {received} is older than the polled version {polled}; the current list stays in use")]
    StaleVersion {
        /// The version of the received list.
        received: u64,
        /// The version that the poll named.
        polled: u64,
    },
    /// Lists have been older than one received before for so long that discovery must have restarted its
    /// version numbers.
    #[error("version {received} after {newest}: discovery restarted its versions; polling the full list")]
    RestartedVersions {
        /// The version of the received list, which is not applied.
        received: u64,
        /// The newest version received before.
        newest: u64,
    },
    /// Some endpoints of the list are malformed; the others are applied.
    #[error("skipped {count} malformed endpoints, for example: {example}")]
    SkippedEndpoints {
        /// The number of skipped endpoints.
        count: usize,
        /// The error of the last skipped endpoint.
        example: EndpointError,
    },
}

/// The reason why an endpoint was skipped.
#[derive(Debug, thiserror::Error)]
pub enum EndpointError {
    /// A member is missing or has an invalid value.
    #[error("{value}: {source}")]
    Malformed {
        /// The endpoint as received.
        value: String,
        /// The error of the JSON deserializer.
        source: serde_json::Error,
    },
    /// The endpoint takes new requests but has no address.
    #[error("{name}: a serving endpoint needs an address")]
    MissingAddress {
        /// The name of the endpoint.
        name: String,
    },
}
