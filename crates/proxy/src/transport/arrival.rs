//! The arrival times of unread bytes. Without them, bytes that arrived before their connection was accepted
//! or read would be taken for new ones.

use super::client_socket::ClientSocket;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;
use std::io::IoSliceMut;
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Bytes that arrived more recently than this count from the time of their read.
const MIN_REPORTED_AGE: Duration = Duration::from_millis(10);
/// The permitted drift between the clock of the kernel's timestamps and the program's clock while a
/// connection waits.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(10);
/// The maximum number of bytes that are peeked at. The HTTP library reads no more at once.
const MAX_PEEKED_BYTES: usize = super::MAX_HEAD_BYTES;

/// Enables the kernel's receive timestamps on the connections of a listener. Returns `false` if that fails.
pub fn enable_receive_timestamps(listener: &impl AsFd) -> bool {
    setsockopt(listener, ReceiveTimestampns, &true).is_ok()
}

/// Determines when the unread bytes of a new connection arrived.
pub struct ArrivalProbe {
    socket: ClientSocket,
    earliest: Instant,
}

impl ArrivalProbe {
    /// Creates a probe for a connection on which no byte can have arrived before `earliest`.
    pub fn new(socket: ClientSocket, earliest: Instant) -> Self {
        ArrivalProbe { socket, earliest }
    }

    /// Returns the arrival time of the last byte that a read of `read_bytes` bytes would return. Returns
    /// `None` if that byte has not waited for long or its arrival time is unknown.
    pub(super) fn arrival_time(&self, read_bytes: usize) -> Option<Instant> {
        let timestamp = self.socket.with_stream(|socket| last_arrival_timestamp(socket, read_bytes))?;
        // A timestamp in the future, or from before the earliest possible arrival, comes from a clock that
        // differs from the program's.
        let age = SystemTime::now().duration_since(timestamp).ok()?;
        let now = Instant::now();
        let longest = now.saturating_duration_since(self.earliest);
        if age < MIN_REPORTED_AGE || age > longest + CLOCK_TOLERANCE {
            return None;
        }
        now.checked_sub(age.min(longest))
    }
}

/// Returns the kernel's timestamp of the last byte that a read would return.
fn last_arrival_timestamp(socket: &impl AsRawFd, read_bytes: usize) -> Option<SystemTime> {
    let mut storage = [0; MAX_PEEKED_BYTES];
    let mut peeked = [IoSliceMut::new(&mut storage[..read_bytes.min(MAX_PEEKED_BYTES)])];
    let mut control = nix::cmsg_space!(TimeSpec);
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    let message = recvmsg::<()>(socket.as_raw_fd(), &mut peeked, Some(&mut control), flags).ok()?;
    message.cmsgs().ok()?.find_map(|control_message| match control_message {
        ControlMessageOwned::ScmTimestampns(timestamp) => {
            SystemTime::UNIX_EPOCH.checked_add(Duration::from(timestamp))
        }
        _ => None,
    })
}
