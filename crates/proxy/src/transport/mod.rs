//! Connections of either side: streams that observe themselves, and bodies that are streamed through.

mod arrival;
mod body;
mod client_socket;
mod observed_stream;
mod progress;
mod request_body;
#[cfg(test)]
mod tests;
mod unread_probe;

pub use arrival::{ArrivalProbe, stamp_arrivals};
pub use body::{BodyContent, FrameSender, StreamedBody, StreamedUpload, UploadStatus};
pub use client_socket::{ClientLiveness, ClientSocket};
pub use observed_stream::ObservedStream;
pub use progress::{SendGuard, StreamProgress, WeakSendGuard};
pub use request_body::{RequestBody, RequestPayload};
pub use unread_probe::UnreadProbe;

use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// A silent machine resets nothing: a write that makes no headway for so long has failed.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest body that is forwarded, in either direction, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Longest head in bytes. The HTTP library's buffer for heads and bodies grows to this size.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most lines in a head.
pub const MAX_HEADERS: usize = 64;
/// What the system may hold of what was written, in bytes. It says that there is space again only once a third of
/// it is free: of the megabytes that it takes by itself, a slow reader needs longer for that than any stall may
/// last.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Prepares a connection, of either side, for small writes and for slow readers.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}
