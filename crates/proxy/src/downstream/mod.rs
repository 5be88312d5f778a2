//! The clients' side: takes requests, checks them, and writes each one's final answer.

mod accept_queue;
mod accept_statistics;
mod connection;
mod connection_table;
mod listener;
mod request_body;
mod request_parsing;
mod response;
mod server;

pub use listener::serve;
pub use server::{ClientLimits, ListenerPhase, MAX_REJECTING_CONNECTIONS, Server};
