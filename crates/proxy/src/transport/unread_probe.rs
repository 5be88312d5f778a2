//! Asks the kernel whether a connection has unread bytes.

use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// A stream that can report whether it has unread bytes or was closed by the peer.
pub trait UnreadProbe {
    /// Returns whether there are unread bytes or a close at this moment, according to the kernel.
    fn has_unread(&self) -> bool;
}

impl UnreadProbe for TokioIo<TcpStream> {
    fn has_unread(&self) -> bool {
        // The reactor knows only the state of its last poll.
        let peeked = SockRef::from(self.inner()).peek(&mut [MaybeUninit::uninit()]);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}
