//! The decision policy of a client-side load balancer for services that call services, without I/O.
//!
//! Each [`Balancer`] is one instance in front of one tier. It learns one concurrency limit for its own calls,
//! cuts it into slices by priority weight, sheds low-priority requests first once past it, and selects backends
//! inside a subset of the tier that is as large as its load. It is told what happens ([`api::Event`]) at a clock
//! time and answers with what to do ([`api::Action`]). It owns no clock, thread or socket: the same settings,
//! seed and events give the same actions.
//!
//! A proxy embeds it like this:
//!
//! ```
//! use foldhitch_balancer::Balancer;
//! use foldhitch_balancer::api::*;
//!
//! // Start: what the instance is told once.
//! let settings = Settings {
//!     instance_index: 0,
//!     instance_count: 1,
//!     tick_ms: 5.0,
//!     classes: vec![Class {
//!         latency_objective_ms: 300.0,
//!         priority_weight: 1.0,
//!         idempotency: Idempotency::Idempotent,
//!         is_ordered_by_key: false,
//!     }],
//!     capabilities: Capabilities { max_attempts: 3, ..Capabilities::default() },
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The endpoint list. The first event also asks for a timer.
//! let endpoint = |backend| EndpointInfo { backend, weight: 1.0, ..EndpointInfo::default() };
//! let endpoints = vec![endpoint(1), endpoint(2)];
//! let list = Event::EndpointList { kind: EndpointListKind::Full, endpoints };
//! balancer.handle(0.0, list, &mut actions);
//! let Some(&Action::SetTimer { delay_ms, token }) = actions.first() else { panic!("a timer is asked for") };
//!
//! // A request: here it is sent at once.
//! actions.clear();
//! let arrival = RequestArrival {
//!     request: 7,
//!     key: 0,
//!     class: 0,
//!     tenant: 0,
//!     deadline_ms: 1000.0,
//!     is_body_streamed: false,
//! };
//! balancer.handle(10.0, Event::RequestArrived(arrival), &mut actions);
//! let Some(&Action::Send { request: 7, backend, .. }) = actions.first() else { panic!("sent") };
//!
//! // The timer, when it is due.
//! actions.clear();
//! balancer.handle(delay_ms, Event::TimerFired { token }, &mut actions);
//!
//! // The outcome. The proxy has forwarded the response, so the request is closed.
//! let result = AttemptResult {
//!     request: 7,
//!     attempt: 0,
//!     backend,
//!     outcome: Outcome::Ok,
//!     latency_ms: 80.0,
//!     is_request_closed: true,
//!     is_body_consumed: false,
//! };
//! actions.clear();
//! balancer.handle(90.0, Event::AttemptFinished(result), &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! # What the proxy has to do
//!
//! - Report every event, in order, with a clock that only goes forward; an [`api::Event::TimerFired`] for every
//!   timer that was asked for.
//! - Report one [`api::Event::AttemptFinished`] for every [`api::Action::Send`], also after the request's end, and
//!   no later than its `expires_at_ms`.
//! - End an attempt that is reported as timed out or cancelled: its backend is told, so that the work stops there.
//! - Configure other settings between two events, through [`Balancer::configure`]; names and other values that go
//!   with them change in the same step.
//! - Set `is_request_closed` once the request is over: the first served response goes to the client by itself and
//!   ends it.
//!
//! Events about requests, attempts or backends that the instance does not know, or that are over, are ignored.

pub mod api;
mod balancer;
mod collections;
mod policy;
pub mod settings_format;
mod settings_validation;
mod stats;

pub use balancer::Balancer;
