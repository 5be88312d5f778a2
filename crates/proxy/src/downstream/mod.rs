//! The clients' side: takes requests, checks them, and writes each one's final answer.

mod connection;
mod connection_table;
mod listener;
mod request_body;
mod request_parsing;
mod response;

pub use connection_table::ConnectionTable;
pub use listener::{ListenerPhase, MAX_REJECTING_CONNECTIONS, Server};
