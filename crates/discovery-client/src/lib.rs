//! A client of the discovery service that polls the endpoint list and watches it for changes. The proxy
//! follows discovery with it, and so does the scale test, whose simulated proxies must make the same polls.

mod client;
mod endpoint_list;
mod error;
mod follower;
mod outage;
mod overdue_polls;
mod poll_gate;
mod polls;
mod timeouts;

pub use endpoint_list::{DiscoveryResponse, EndpointRecord, HealthState, ParsedEndpoints};
pub use error::{DiscoveryError, EndpointError};
pub use follower::{EndpointListUpdate, EndpointObserver, FollowOptions, ListOrigin, follow};
pub use outage::PollOutage;
pub use timeouts::WatchTimeouts;
