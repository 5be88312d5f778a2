//! The responses of discovery: the endpoint list, or changes to it.

use crate::error::{DiscoveryError, EndpointError};
use foldhitch_balancer::api::EndpointListKind;
use serde::Deserialize;
use std::net::SocketAddr;

/// A response of discovery.
#[derive(Debug, Deserialize)]
pub struct DiscoveryResponse {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_complete: bool,
    hosts: Vec<serde_json::Value>,
}

/// An endpoint in the list.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointRecord {
    /// The name of the backend.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address, which is optional unless the endpoint takes new requests.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its cell.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Its health state.
    pub health: HealthState,
    /// Its capacity relative to the other endpoints.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// The start time of its process as Unix time in milliseconds; 0 if it started long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: f64,
}

/// The health state of a backend.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum HealthState {
    /// Takes new requests.
    Serving,
    /// Finishes its open requests and takes no new ones.
    Draining,
    /// Has been removed.
    Deleted,
}

/// The endpoints of a response that could be parsed, and an error for the rest.
#[derive(Debug, Default)]
pub struct ParsedEndpoints {
    /// The endpoints that could be parsed.
    pub endpoints: Vec<EndpointRecord>,
    /// The error for the endpoints that could not be parsed, if there are any.
    pub skipped: Option<DiscoveryError>,
}

impl DiscoveryResponse {
    /// Returns discovery's version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this is a full list without endpoints.
    pub(crate) fn is_empty_full_list(&self) -> bool {
        self.is_complete && self.hosts.is_empty()
    }

    /// Checks that the version is not older than `polled`, the version that the poll named. An older one is a
    /// fault of discovery. The full list is polled next and accepted as it is, since discovery may have
    /// restarted.
    pub(crate) fn check_version(self, polled: Option<u64>) -> Result<Self, DiscoveryError> {
        match polled {
            Some(polled) if self.version < polled => {
                Err(DiscoveryError::StaleVersion { received: self.version, polled })
            }
            _ => Ok(self),
        }
    }

    /// Returns whether the response changes the list: it is a full list or has at least one endpoint.
    pub(crate) fn has_update(&self) -> bool {
        self.is_complete || !self.hosts.is_empty()
    }

    /// Returns how the endpoints relate to the current list.
    pub(crate) fn kind(&self) -> EndpointListKind {
        if self.is_complete { EndpointListKind::Full } else { EndpointListKind::Delta }
    }

    /// Parses the endpoints and skips those that are malformed.
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

/// The members that are required of an endpoint that takes no new requests.
#[derive(Deserialize)]
struct UnavailableEndpoint {
    #[serde(rename = "host")]
    name: String,
    health: HealthState,
}

impl UnavailableEndpoint {
    /// Parses an endpoint that takes no new requests, even if its other members are malformed.
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
