//! What discovery answers: the endpoint list, or changes to it.

use crate::error::{DiscoveryError, EndpointError};
use foldhitch_balancer::api::EndpointListKind;
use serde::Deserialize;
use std::net::SocketAddr;

/// An answer of discovery.
#[derive(Debug, Deserialize)]
pub struct DiscoveryResponse {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_complete: bool,
    hosts: Vec<serde_json::Value>,
}

/// An endpoint of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointRecord {
    /// The backend's name.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address; one that takes no new requests needs none.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its cell.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Whether it takes new requests.
    pub health: HealthState,
    /// Its size beside the others'.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: f64,
}

/// Whether a backend takes new requests.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum HealthState {
    /// Takes requests.
    Serving,
    /// Finishes its requests.
    Draining,
    /// Gone.
    Deleted,
}

/// The endpoints of an answer that could be read, and what is wrong with the others.
#[derive(Debug, Default)]
pub struct ParsedEndpoints {
    /// Those that could be read.
    pub endpoints: Vec<EndpointRecord>,
    /// Why others could not.
    pub skipped: Option<DiscoveryError>,
}

impl DiscoveryResponse {
    /// Discovery's version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether it is the whole list and names nobody.
    pub(crate) fn is_empty_full_list(&self) -> bool {
        self.is_complete && self.hosts.is_empty()
    }

    /// Checks that it can be the answer to a poll after version `asked`. One older than what it was asked for is
    /// discovery's fault: then the whole list is polled, and that one holds, for discovery may have started anew.
    pub(crate) fn check_version(self, polled: Option<u64>) -> Result<Self, DiscoveryError> {
        match polled {
            Some(polled) if self.version < polled => {
                Err(DiscoveryError::StaleVersion { received: self.version, polled })
            }
            _ => Ok(self),
        }
    }

    /// Whether it tells anything.
    pub(crate) fn has_update(&self) -> bool {
        self.is_complete || !self.hosts.is_empty()
    }

    /// How it relates to the list that is held.
    pub(crate) fn kind(&self) -> EndpointListKind {
        if self.is_complete { EndpointListKind::Full } else { EndpointListKind::Delta }
    }

    /// Reads its endpoints; those that can't be read are skipped.
    pub fn parse_endpoints(self) -> ParsedEndpoints {
        let mut parsed = ParsedEndpoints::default();
        let mut skipped_count = 0;
        for value in self.hosts {
            match EndpointRecord::from_json(&value) {
                Ok(endpoint) => parsed.endpoints.push(endpoint),
                Err(example) => {
                    skipped_count += 1;
                    parsed.skipped = Some(DiscoveryError::SkippedEndpoints { count: skipped_count, example });
                }
            }
        }
        parsed
    }
}

/// What has to be known of an endpoint that takes no new requests.
#[derive(Deserialize)]
struct UnavailableEndpoint {
    #[serde(rename = "host")]
    name: String,
    health: HealthState,
}

impl UnavailableEndpoint {
    /// The record of an endpoint that takes no new requests, though nothing else of it can be read.
    fn from_json(value: &serde_json::Value) -> Option<EndpointRecord> {
        let UnavailableEndpoint { name, health } = Self::deserialize(value).ok()?;
        let is_unavailable = health != HealthState::Serving;
        is_unavailable.then_some(EndpointRecord {
            name,
            address: None,
            zone: String::new(),
            cell: 0,
            health,
            weight: 0.0,
            started_at_ms: 0.0,
        })
    }
}

impl EndpointRecord {
    fn from_json(value: &serde_json::Value) -> Result<Self, EndpointError> {
        let endpoint = match Self::deserialize(value) {
            Ok(endpoint) => endpoint,
            Err(source) => UnavailableEndpoint::from_json(value)
                .ok_or_else(|| EndpointError::Malformed { value: value.to_string(), source })?,
        };
        if endpoint.address.is_none() && endpoint.health == HealthState::Serving {
            return Err(EndpointError::MissingAddress { name: endpoint.name });
        }
        Ok(endpoint)
    }
}
