//! Asks the system whether something lies on a connection to be read.

use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// A stream that can be asked whether something lies there to be read, or it was closed.
pub trait UnreadProbe {
    /// Whether it is so now, by the system's word.
    fn has_unread(&self) -> bool;
}

impl UnreadProbe for TokioIo<TcpStream> {
    fn has_unread(&self) -> bool {
        // The reactor knows only what it was told when it last looked.
        let peeked = SockRef::from(self.inner()).peek(&mut [MaybeUninit::uninit()]);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}
