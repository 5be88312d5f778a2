//! Connections to clients and backends: streams that record their progress, and streamed bodies.

mod arrival;
mod body;
mod body_arrival;
mod body_blocks;
mod client_socket;
mod observed_stream;
mod progress;
mod request_body;
#[cfg(test)]
mod tests;
mod unread_probe;
mod upload;

pub use arrival::{ArrivalProbe, enable_receive_timestamps};
pub use body::{BodyContent, BufferedBody, FrameSender, StreamedBody, copy_frame};
pub use body_arrival::BodyArrival;
pub use body_blocks::BodyBlocks;
pub use client_socket::{ClientLiveness, ClientSocket};
pub use observed_stream::ObservedStream;
pub use progress::{SendGuard, StreamProgress, WeakSendGuard};
pub use request_body::{RequestBody, RequestPayload};
pub use unread_probe::UnreadProbe;
pub use upload::{StreamedUpload, UploadProgress, UploadStatus};

use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// A write that makes no progress for this long fails. A peer that has lost power or network sends no reset.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of a forwarded request or response body, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The maximum size of a message head, in bytes. The HTTP library's buffer for heads and bodies grows to this
/// size.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of bytes that are read from a connection at once.
pub const MAX_READ_BYTES: usize = MAX_HEAD_BYTES;
/// The maximum number of header lines in a message head.
pub const MAX_HEADERS: usize = 64;
/// The send buffer size that is set on each socket, in bytes. The kernel reports a socket as writable again
/// only once a third of its send buffer is free. With the kernel's own choice of several megabytes, a slow
/// reader needs longer for that than [`WRITE_STALL_TIMEOUT`].
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Configures the socket of a client or backend connection for small writes and for slow readers.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}
