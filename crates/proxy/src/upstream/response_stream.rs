//! Long responses that are forwarded to the client as they arrive.

use super::connection::{Connection, IdleCheck};
use super::connection_pool::{ConnectionPool, Endpoint};
use super::response::{BufferedResponse, PartialResponse};
use crate::transport::{FrameSender, WRITE_STALL_TIMEOUT, copy_frame};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::time::timeout;

/// A long response that is streamed to the client.
pub(super) struct ResponseStream {
    pub(super) body: Incoming,
    pub(super) frames: FrameSender,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) connection: Connection,
}

/// The client no longer reads the response, or the response is truncated. The client sees an aborted body.
struct Aborted;

impl ResponseStream {
    /// Streams the response. A response without a verified end is aborted.
    pub(super) async fn run(mut self, partial: PartialResponse) {
        if let Ok(IdleCheck::Reusable) = self.stream(partial).await {
            self.connection.finish_response(false);
            self.pool.keep_idle(&self.endpoint, self.connection);
        }
    }

    async fn stream(&mut self, partial: PartialResponse) -> Result<IdleCheck, Aborted> {
        let mut remaining = partial.length;
        let BufferedResponse { data, memory, .. } = partial.buffered;
        for piece in data.into_pieces() {
            remaining = remaining.map(|remaining| remaining.saturating_sub(piece.len() as u64));
            if remaining == Some(0) {
                // The last data is held back until its end has been verified.
                return self.finish(piece).await;
            }
            self.send(piece).await?;
        }
        drop(memory);
        loop {
            let Some(data) = self.next_data(remaining.is_some()).await? else {
                return self.finish(Bytes::new()).await;
            };
            remaining = remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
            if remaining == Some(0) {
                return self.finish(data).await;
            }
            self.send(copy_frame(data)).await?;
        }
    }

    async fn send(&self, data: Bytes) -> Result<(), Aborted> {
        if data.is_empty() {
            return Ok(());
        }
        self.frames.send(Some(data)).await.map_err(|_| Aborted)
    }

    /// Returns the next data of the body, or `None` at the end of a body of unknown length.
    async fn next_data(&mut self, has_length: bool) -> Result<Option<Bytes>, Aborted> {
        loop {
            let frame = tokio::select! {
                frame = timeout(WRITE_STALL_TIMEOUT, self.body.frame()) => frame,
                () = self.frames.closed() => return Err(Aborted),
            };
            match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Ok(Some(data)),
                    // Trailers are ignored.
                    _ => {}
                },
                Ok(None) if !has_length => return Ok(None),
                _ => return Err(Aborted),
            }
        }
    }

    /// Sends the last data and the end, unless the bytes after the response show that it is corrupt.
    async fn finish(&mut self, last: Bytes) -> Result<IdleCheck, Aborted> {
        let check = self.connection.check_idle().await;
        if check == IdleCheck::ResponseCorrupt {
            return Err(Aborted);
        }
        self.send(last).await?;
        let _ = self.frames.send(None).await;
        Ok(check)
    }
}
