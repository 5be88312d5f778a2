//! The decision policy of a client-side load balancer for services that call other services, without I/O.
//!
//! Each [`Balancer`] is one instance in front of one tier. It learns one concurrency limit for its own
//! calls, divides the limit into slices by priority weight, sheds low-priority requests first when the
//! limit is exceeded, and selects backends from a subset of the tier whose size follows its load. The proxy
//! reports events ([`api::Event`]) with a clock time, and the instance responds with actions
//! ([`api::Action`]). It has no clock, thread or socket of its own: the same settings, seed and events
//! result in the same actions.
//!
//! A proxy embeds it as follows:
//!
//! ```
//! use foldhitch_balancer::Balancer;
//! use foldhitch_balancer::api::*;
//!
//! // The settings, given at the start.
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
//! // The endpoint list. The first event also starts a timer.
//! let endpoint = |backend| EndpointInfo { backend, weight: 1.0, ..EndpointInfo::default() };
//! let endpoints = vec![endpoint(1), endpoint(2)];
//! let list = Event::EndpointList { kind: EndpointListKind::Full, endpoints };
//! balancer.handle(0.0, list, &mut actions);
//! let Some(&Action::SetTimer { delay_ms, token }) = actions.first() else { panic!("expected a timer") };
//!
//! // A request, which is sent at once.
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
//! let Some(&Action::Send { request: 7, backend, .. }) = actions.first() else { panic!("expected a send") };
//!
//! // The timer, when it fires.
//! actions.clear();
//! balancer.handle(delay_ms, Event::TimerFired { token }, &mut actions);
//!
//! // The result. The proxy has forwarded the response, so the request is closed.
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
//! # Requirements on the proxy
//!
//! - Report every event in order, with a clock that never goes backwards, and an [`api::Event::TimerFired`]
//!   for every timer.
//! - Report one [`api::Event::AttemptFinished`] for every [`api::Action::Send`], also after the end of the
//!   request, and no later than at its `expires_at_ms`.
//! - Report [`api::Event::BodyReceived`] when a streamed body is complete, and [`api::Event::BodyStalled`] each
//!   time that the earliest end of a body that is not read becomes known or later.
//! - Write the first byte of an attempt before its `send_by_ms`, if it has one, or report it as not sent.
//! - End an attempt that is reported as timed out or cancelled, and notify its backend, so that the work
//!   stops there.
//! - Replace settings between two events, through [`Balancer::configure`]; names and other values that
//!   belong to them change in the same step.
//! - Set `is_request_closed` once the request is over: the proxy forwards the first served response to the
//!   client on its own, which ends the request.
//!
//! Events about requests, attempts or backends that the instance does not know, or that have ended, are
//! ignored.

pub mod api;
mod balancer;
mod collections;
mod policy;
pub mod settings_format;
mod settings_validation;
mod stats;

pub use balancer::Balancer;
