//! Reads frames. A frame has a record count, the length of the rest of the frame, a clock value, and the
//! records.

use super::reader::Reader;
use crate::error::AdapterError;
use std::io::Read;

/// Length of a frame header in bytes: record count, length and clock.
pub(super) const HEADER_BYTES: usize = 16;
/// Length of the clock field in bytes. The length field of the header counts it.
const CLOCK_BYTES: usize = 8;

/// A frame whose records are not decoded yet.
pub struct Frame {
    /// The simulated clock in milliseconds.
    pub now_ms: f64,
    /// Number of records.
    pub record_count: u32,
    /// The encoded records.
    pub body: Vec<u8>,
}

/// Reads a frame. Returns `None` if the input ends between two frames.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, AdapterError> {
    let header = read_up_to(input, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        return Err(AdapterError::TruncatedHeader { received: header.len(), expected: HEADER_BYTES });
    }
    let mut reader = Reader::new(&header, 0);
    let record_count = reader.u32("count").map_err(AdapterError::Header)?;
    let length = reader.u32("length").map_err(AdapterError::Header)? as usize;
    let now_ms = reader.f64("clock").map_err(AdapterError::Header)?;
    let expected = length.checked_sub(CLOCK_BYTES).ok_or(AdapterError::FrameTooShort { length })?;
    let body = read_up_to(input, expected)?;
    if body.len() < expected {
        return Err(AdapterError::TruncatedFrame { received: body.len(), expected });
    }
    Ok(Some(Frame { now_ms, record_count, body }))
}

/// Reads `count` bytes, or fewer if the input ends before.
fn read_up_to(input: &mut impl Read, count: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input.by_ref().take(count as u64).read_to_end(&mut bytes).map_err(AdapterError::Input)?;
    Ok(bytes)
}
