//! The downstream side: accepts client connections, validates requests, and writes the final answer to each.

mod accept_queue;
mod accept_statistics;
mod body_reception;
mod connection;
mod connection_table;
mod listener;
mod request_body;
mod request_parsing;
mod response;
mod server;
mod upload_stream;

pub use listener::serve;
pub use server::{ClientLimits, ListenerPhase, MAX_REJECTING_CONNECTIONS, Server};
