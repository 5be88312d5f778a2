//! Frames: a header with the number of records and their length, a clock, and the records.

use super::reader::Reader;
use crate::error::AdapterError;
use std::io::Read;

/// Length of a header with its clock, in bytes.
pub(super) const HEADER_BYTES: usize = 16;
/// Length of the clock in bytes, which counts as a part of the frame.
const CLOCK_BYTES: usize = 8;

/// One batch of records as it came.
pub struct Frame {
    /// The clock in milliseconds.
    pub now_ms: f64,
    /// How many records there are.
    pub record_count: u32,
    /// Their bytes.
    pub body: Vec<u8>,
}

/// Reads a frame; `None` at a clean end of input.
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

fn read_up_to(input: &mut impl Read, count: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input.by_ref().take(count as u64).read_to_end(&mut bytes).map_err(AdapterError::Input)?;
    Ok(bytes)
}
