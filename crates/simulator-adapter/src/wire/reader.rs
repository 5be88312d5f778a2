//! Reads little-endian fields and reports the position of an invalid one.

use crate::error::FieldError;
use foldhitch_balancer::api::{EndpointInfo, Outcome, Phase};

/// Reads consecutive fields from a byte slice.
pub(super) struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of the first byte of `bytes` in the frame.
    base_offset: usize,
}

impl<'a> Reader<'a> {
    pub(super) fn new(bytes: &'a [u8], base_offset: usize) -> Self {
        Reader { bytes, position: 0, base_offset }
    }

    /// Returns the offset of the next byte in the frame.
    pub(super) fn offset(&self) -> usize {
        self.base_offset + self.position
    }

    /// Returns the number of bytes that have not been read.
    pub(super) fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    pub(super) fn take(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], FieldError> {
        let end = self.position.checked_add(count);
        let taken = end.and_then(|end| self.bytes.get(self.position..end));
        let taken = taken.ok_or(FieldError::Truncated { offset: self.offset(), field })?;
        self.position += count;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], FieldError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N, field)?);
        Ok(array)
    }

    pub(super) fn u8(&mut self, field: &'static str) -> Result<u8, FieldError> {
        Ok(u8::from_le_bytes(self.array(field)?))
    }

    pub(super) fn u16(&mut self, field: &'static str) -> Result<u16, FieldError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    pub(super) fn u32(&mut self, field: &'static str) -> Result<u32, FieldError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    pub(super) fn u64(&mut self, field: &'static str) -> Result<u64, FieldError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    pub(super) fn f32(&mut self, field: &'static str) -> Result<f32, FieldError> {
        Ok(f32::from_le_bytes(self.array(field)?))
    }

    pub(super) fn f64(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let offset = self.offset();
        let value = f64::from_le_bytes(self.array(field)?);
        if value.is_finite() { Ok(value) } else { Err(FieldError::NotFinite { offset, field }) }
    }

    /// Reads and discards a load report, which the balancer does not use.
    pub(super) fn skip_load_report(&mut self) -> Result<(), FieldError> {
        let value_count = self.u8("healthInfo")?;
        for _ in 0..value_count {
            self.f32("healthInfo")?;
        }
        Ok(())
    }

    pub(super) fn outcome(&mut self) -> Result<Outcome, FieldError> {
        let (offset, field) = (self.offset(), "disposition");
        match self.u16(field)? {
            0 => Ok(Outcome::Ok),
            1 => Ok(Outcome::Error),
            2 => Ok(Outcome::Full),
            3 => Ok(Outcome::Timeout),
            4 => Ok(Outcome::ConnectFailed),
            5 => Ok(Outcome::Reset),
            6 => Ok(Outcome::Cancelled),
            7 => Ok(Outcome::NotSent),
            other => Err(FieldError::UnknownValue { offset, field, value: other.into() }),
        }
    }

    pub(super) fn endpoint(&mut self) -> Result<EndpointInfo, FieldError> {
        let phase = self.phase()?;
        let endpoint = EndpointInfo {
            phase,
            backend: self.u32("backend")?,
            zone: self.u16("hall")?,
            started_at_ms: self.f64("startedAt")?,
            weight: f64::from(self.f32("weight")?),
            cell: self.u16("cluster")?,
        };
        self.u16("hw")?;
        Ok(endpoint)
    }

    fn phase(&mut self) -> Result<Phase, FieldError> {
        let (offset, field) = (self.offset(), "phase");
        match self.u8(field)? {
            0 => Ok(Phase::Ready),
            1 => Ok(Phase::Removed),
            2 => Ok(Phase::Draining),
            other => Err(FieldError::UnknownValue { offset, field, value: other.into() }),
        }
    }
}
