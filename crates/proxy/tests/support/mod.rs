//! Helpers that run the proxy program with clients, backends and a discovery agent on loopback sockets. They
//! contain no policy and no model: each peer follows a script of its test, and a test waits for events that
//! it observes.

// Each test program uses only some of the helpers.
#![allow(dead_code, unused_imports)]

mod backend;
mod cases;
mod client;
mod discovery;
mod failing_calls;
mod proxy;
mod raw_peers;
mod scripted_backend;
mod sockets;
mod staged_backend;
mod strict_client;

pub use backend::*;
pub use cases::*;
pub use client::*;
pub use discovery::*;
pub use failing_calls::*;
pub use proxy::*;
pub use raw_peers::*;
pub use scripted_backend::*;
pub use sockets::*;
pub use staged_backend::*;
pub use strict_client::*;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// The maximum time that a test waits for an expected event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Awaits a future and panics if it takes longer than [`TEST_TIMEOUT`].
pub async fn in_time<T>(what: impl Future<Output = T>) -> T {
    timeout(TEST_TIMEOUT, what).await.expect("no timeout")
}
