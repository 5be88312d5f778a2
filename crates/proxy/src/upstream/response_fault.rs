//! Why a response can't be used, or was not forwarded to its end.

use thiserror::Error;

/// Why a response can't be used, or was not forwarded to its end.
#[derive(Debug, Error)]
pub(super) enum ResponseFault {
    /// The headers allow more than one end of the body.
    #[error("its framing is ambiguous or its length is too large")]
    Framing,
    /// A 200 response came before the last byte of the request was written.
    #[error("it precedes the end of its request")]
    Early,
    /// Nothing of it arrived for too long.
    #[error("it makes no progress")]
    Stalled,
    /// The connection ended in its middle, or its framing is invalid.
    #[error("it ends early")]
    Broken(#[from] hyper::Error),
    /// Fewer bytes came than its length says.
    #[error("it is shorter than its length")]
    Truncated,
    /// Bytes follow that are no response.
    #[error("unexpected bytes follow it")]
    UnexpectedBytes,
    /// The client has disconnected, or its connection was closed.
    #[error("its client is no longer connected")]
    ClientDisconnected,
}
