//! When bytes that wait to be read have come. A program that accepts or reads late would otherwise take them for new.

use super::client_socket::ClientSocket;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;
use std::io::IoSliceMut;
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// What came more lately than this is read as it comes.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// So far the clock of the system's stamps and that of the program may drift apart while a connection waits.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(10);
/// No more than this is looked at, in bytes; the HTTP library reads no more at once.
const MAX_PEEKED_BYTES: usize = super::MAX_HEAD_BYTES;

/// Has the system note when bytes come on the connections of a listener. False if it can't.
pub fn stamp_arrivals(listener: &impl AsFd) -> bool {
    setsockopt(listener, ReceiveTimestampns, &true).is_ok()
}

/// Tells when the bytes that wait to be read on a new connection came.
pub struct ArrivalProbe {
    socket: ClientSocket,
    earliest: Instant,
}

impl ArrivalProbe {
    /// A probe for a connection on which nothing can have come before a time.
    pub fn new(socket: ClientSocket, earliest: Instant) -> Self {
        ArrivalProbe { socket, earliest }
    }

    /// When the last came of the bytes that a read of so many would find. None if nothing has waited for long, or if
    /// the system doesn't know.
    pub(super) fn waiting_since(&self, read_bytes: usize) -> Option<Instant> {
        let stamp = self.socket.with_stream(|socket| last_stamp(socket, read_bytes))?;
        // A stamp outside the time in which it can have been made is of a clock that differs from the program's.
        let age = SystemTime::now().duration_since(stamp).ok()?;
        let now = Instant::now();
        let longest = now.saturating_duration_since(self.earliest);
        if age < MIN_WAIT || age > longest + CLOCK_TOLERANCE {
            return None;
        }
        now.checked_sub(age.min(longest))
    }
}

/// The system's stamp on the last of the bytes that a read would find.
fn last_stamp(socket: &impl AsRawFd, read_bytes: usize) -> Option<SystemTime> {
    let mut space = [0; MAX_PEEKED_BYTES];
    let mut peeked = [IoSliceMut::new(&mut space[..read_bytes.min(MAX_PEEKED_BYTES)])];
    let mut control = nix::cmsg_space!(TimeSpec);
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    let message = recvmsg::<()>(socket.as_raw_fd(), &mut peeked, Some(&mut control), flags).ok()?;
    message.cmsgs().ok()?.find_map(|control_message| match control_message {
        ControlMessageOwned::ScmTimestampns(stamp) => {
            SystemTime::UNIX_EPOCH.checked_add(Duration::from(stamp))
        }
        _ => None,
    })
}
