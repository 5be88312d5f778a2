//! Streams the body of a client's request to an attempt, and reports how far it has come.

use super::connection_table::ConnectionState;
use super::request_body::BodyReadDeadline;
use crate::transport::{
    BodyArrival, BodyBlocks, FrameSender, MAX_BODY_BYTES, UploadProgress, UploadStatus, copy_frame,
};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Time without a newly arrived byte after which an upload that is not read counts as stalled. It is observed
/// this often.
const STALL_OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// Streams a body as it arrives. If its receiver is dropped, the body is still read to its end: a client that
/// is still writing must be able to see its answer.
pub(super) struct UploadStream {
    pub(super) body: Incoming,
    pub(super) deadline: BodyReadDeadline,
    pub(super) frames: FrameSender,
    pub(super) status: Rc<UploadStatus>,
    pub(super) arrival: BodyArrival,
    pub(super) connection: Rc<ConnectionState>,
}

impl UploadStream {
    /// Streams the body in a task of its own. `first` is the part that was read before.
    pub(super) fn spawn(self, first: Option<BodyBlocks>) {
        // Keeps the bytes read meanwhile from counting as a new head, whose time limit would close the
        // connection.
        self.connection.is_reading_body.set(true);
        spawn_local(self.run(first));
    }

    async fn run(mut self, first: Option<BodyBlocks>) {
        let progress = match self.stream(first).await {
            Ok(()) => {
                let last_byte_at = self.arrival.earliest_end();
                UploadProgress::Complete { last_byte_at, read_at: Instant::now() }
            }
            Err(status) => UploadProgress::Failed(status),
        };
        self.status.set_progress(progress);
        self.connection.is_reading_body.set(false);
    }

    async fn stream(&mut self, first: Option<BodyBlocks>) -> Result<(), StatusCode> {
        let mut length = first.as_ref().map_or(0, BodyBlocks::len) as u64;
        let mut is_wanted = true;
        for piece in first.into_iter().flat_map(BodyBlocks::into_pieces) {
            is_wanted = is_wanted && self.forward(Some(piece)).await;
        }
        loop {
            // Without bytes to read, the last one is certainly still to come.
            self.status.set_progress(UploadProgress::Arriving);
            let data = self.deadline.next_data(&mut self.body).await?;
            length += data.as_ref().map_or(0, Bytes::len) as u64;
            if length > MAX_BODY_BYTES {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            let is_end = data.is_none();
            is_wanted = is_wanted && self.forward(data.map(copy_frame)).await;
            if is_end {
                return Ok(());
            }
        }
    }

    /// Passes on a frame once the previous one was taken, and reports meanwhile whether the last byte may
    /// have arrived. Returns whether frames are still wanted.
    async fn forward(&mut self, data: Option<Bytes>) -> bool {
        let UploadStream { frames, status, arrival, .. } = self;
        report_stall(status, arrival);
        loop {
            match timeout(STALL_OBSERVATION_INTERVAL, frames.reserve()).await {
                Ok(Ok(permit)) => {
                    permit.send(data);
                    return true;
                }
                Ok(Err(_)) => return false,
                Err(_) => report_stall(status, arrival),
            }
        }
    }
}

/// Reports an upload as stalled if no byte of it has arrived for a while. Its last byte may be among those
/// that are not read.
fn report_stall(status: &UploadStatus, arrival: &mut BodyArrival) {
    let last_byte_at = arrival.earliest_end();
    let is_stalled = last_byte_at.elapsed() >= STALL_OBSERVATION_INTERVAL;
    status.set_progress(if is_stalled {
        UploadProgress::Stalled { last_byte_at }
    } else {
        UploadProgress::Arriving
    });
}
