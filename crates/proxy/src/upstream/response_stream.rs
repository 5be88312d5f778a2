//! Long responses that are forwarded to the client as they arrive.

use super::connection::{Connection, IdleCheck};
use super::connection_pool::{ConnectionPool, Endpoint};
use super::request::{UpstreamRequest, printable_id};
use super::response::{BufferedResponse, PartialResponse};
use super::response_fault::ResponseFault;
use crate::log::{WithSources, log};
use crate::transport::{FrameSender, WRITE_STALL_TIMEOUT, copy_frame};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::time::timeout;

/// A long response that is streamed to the client.
pub(super) struct ResponseStream {
    pub(super) request: Rc<UpstreamRequest>,
    pub(super) body: Incoming,
    pub(super) frames: FrameSender,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) connection: Connection,
    /// The number of bytes of the body that were passed on.
    pub(super) forwarded_bytes: u64,
}

impl ResponseStream {
    /// Streams the response. A response without a verified end is aborted, which the client sees.
    pub(super) async fn run(mut self, partial: PartialResponse) {
        match self.stream(partial).await {
            Ok(IdleCheck::Reusable) => {
                self.connection.finish_response(false);
                self.pool.keep_idle(&self.endpoint, self.connection);
            }
            Ok(IdleCheck::NotReusable | IdleCheck::ResponseCorrupt) => {}
            Err(fault) => self.log_cut(&fault),
        }
    }

    fn log_cut(&self, fault: &ResponseFault) {
        let id = printable_id(&self.request.id);
        let (address, bytes) = (self.endpoint.address, self.forwarded_bytes);
        let fault = WithSources(fault);
        log!("{id}: response of the backend at {address} cut after {bytes} bytes: {fault}");
    }

    async fn stream(&mut self, partial: PartialResponse) -> Result<IdleCheck, ResponseFault> {
        let mut remaining = partial.length;
        let BufferedResponse { data, .. } = partial.buffered;
        for piece in data.into_pieces() {
            remaining = remaining.map(|remaining| remaining.saturating_sub(piece.len() as u64));
            if remaining == Some(0) {
                // The last data is held back until its end has been verified.
                return self.finish(piece).await;
            }
            self.send(piece).await?;
        }
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

    async fn send(&mut self, data: Bytes) -> Result<(), ResponseFault> {
        if data.is_empty() {
            return Ok(());
        }
        let byte_count = data.len() as u64;
        self.frames.send(Some(data)).await.map_err(|_| ResponseFault::ClientDisconnected)?;
        self.forwarded_bytes += byte_count;
        Ok(())
    }

    /// Returns the next data of the body, or `None` at the end of a body of unknown length.
    async fn next_data(&mut self, has_length: bool) -> Result<Option<Bytes>, ResponseFault> {
        loop {
            let frame = tokio::select! {
                frame = timeout(WRITE_STALL_TIMEOUT, self.body.frame()) => frame,
                () = self.frames.closed() => return Err(ResponseFault::ClientDisconnected),
            };
            let Some(frame) = frame.map_err(|_| ResponseFault::Stalled)? else {
                return if has_length { Err(ResponseFault::Truncated) } else { Ok(None) };
            };
            // Trailers are ignored.
            let data = frame?.into_data().unwrap_or_default();
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Sends the last data and the end, unless the bytes after the response show that it is corrupt.
    async fn finish(&mut self, last: Bytes) -> Result<IdleCheck, ResponseFault> {
        let check = self.connection.check_idle().await;
        if check == IdleCheck::ResponseCorrupt {
            return Err(ResponseFault::UnexpectedBytes);
        }
        self.send(last).await?;
        let _ = self.frames.send(None).await;
        Ok(check)
    }
}
