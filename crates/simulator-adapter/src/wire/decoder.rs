//! Decodes the records of a frame.

use super::frame::{Frame, HEADER_BYTES};
use super::reader::Reader;
use crate::error::{AdapterError, FieldError, RecordError};
use foldhitch_balancer::api::{
    AttemptResult, EndpointInfo, EndpointListKind, Event, RequestArrival, TimerToken,
};

/// Number of pages; page numbers are below this value.
const MAX_PAGES: usize = 16;

/// Record codes.
mod code {
    pub(super) const LAUNCH: u16 = 1;
    pub(super) const DISCOVERY: u16 = 2;
    pub(super) const REQUEST: u16 = 3;
    pub(super) const FIRST_BYTE: u16 = 4;
    pub(super) const ATTEMPT_FINISHED: u16 = 5;
    pub(super) const CLIENT_DISCONNECTED: u16 = 6;
    pub(super) const TIMER: u16 = 7;
    pub(super) const HEALTH_CHECK: u16 = 8;
    pub(super) const GOSSIP: u16 = 9;
    pub(super) const SHUTDOWN: u16 = 10;
    pub(super) const PAGE: u16 = 11;
}

/// A decoded record.
pub enum Record {
    /// Starts an instance.
    Launch {
        /// The instance.
        instance: u16,
        /// Seed of its random number generator.
        seed: u64,
        /// Its settings, as JSON text.
        settings: Vec<u8>,
    },
    /// Stops an instance.
    Shutdown {
        /// The instance.
        instance: u16,
    },
    /// Defines a page, an endpoint list with a number. The decoder keeps it; there is nothing to execute.
    Page,
    /// A record that the balancer does not use. It is decoded only to check its format.
    Ignored {
        /// The instance.
        instance: u16,
    },
    /// Passes an event to an instance.
    Event {
        /// The instance.
        instance: u16,
        /// The event.
        event: Event,
    },
}

/// Decodes records and holds the pages, which all instances share and which persist across frames.
#[derive(Default)]
pub struct Decoder {
    pages: [Option<Vec<EndpointInfo>>; MAX_PAGES],
}

impl Decoder {
    /// Decodes the records of a frame in order and passes each to `execute` before the next is decoded.
    pub fn decode(
        &mut self,
        frame: &Frame,
        mut execute: impl FnMut(Record) -> Result<(), RecordError>,
    ) -> Result<(), AdapterError> {
        let mut reader = Reader::new(&frame.body, HEADER_BYTES);
        for record in 0..frame.record_count {
            let offset = reader.offset();
            let decoded = self.decode_record(&mut reader);
            let decoded = decoded.map_err(|source| AdapterError::Malformed { record, source })?;
            execute(decoded).map_err(|source| AdapterError::Rejected { record, offset, source })?;
        }
        match reader.remaining() {
            0 => Ok(()),
            count => Err(AdapterError::TrailingBytes { offset: reader.offset(), count }),
        }
    }

    fn decode_record(&mut self, reader: &mut Reader) -> Result<Record, FieldError> {
        let offset = reader.offset();
        let code = reader.u16("code")?;
        if code == code::PAGE {
            return self.decode_page(reader);
        }
        if !(code::LAUNCH..=code::SHUTDOWN).contains(&code) {
            return Err(FieldError::UnknownValue { offset, field: "event", value: code.into() });
        }
        let instance = reader.u16("proxyId")?;
        let event = match code {
            code::LAUNCH => return decode_launch(reader, instance),
            code::DISCOVERY => self.decode_endpoint_list(reader)?,
            code::REQUEST => decode_request(reader)?,
            code::ATTEMPT_FINISHED => decode_attempt_finished(reader)?,
            code::CLIENT_DISCONNECTED => Event::ClientDisconnected { request: reader.u64("xid")? },
            code::TIMER => Event::TimerFired { token: TimerToken(reader.u64("nonce")?) },
            code::FIRST_BYTE => return skip_first_byte(reader, instance),
            code::HEALTH_CHECK => return skip_health_check(reader, instance),
            code::GOSSIP => return skip_gossip(reader, instance),
            _ => return Ok(Record::Shutdown { instance }),
        };
        Ok(Record::Event { instance, event })
    }

    fn decode_page(&mut self, reader: &mut Reader) -> Result<Record, FieldError> {
        let offset = reader.offset();
        let number = reader.u32("page")?;
        let out_of_range = FieldError::OutOfRange { offset, field: "page", value: number };
        let page = self.pages.get_mut(number as usize).ok_or(out_of_range)?;
        let line_count = reader.u32("lines")?;
        let endpoints: Result<_, _> = (0..line_count).map(|_| reader.endpoint()).collect();
        *page = Some(endpoints?);
        Ok(Record::Page)
    }

    fn decode_endpoint_list(&self, reader: &mut Reader) -> Result<Event, FieldError> {
        let offset = reader.offset();
        let page = reader.u32("page")?;
        let kind = decode_list_kind(reader)?;
        let endpoints = match self.pages.get(page as usize) {
            _ if kind == EndpointListKind::Failed => Vec::new(),
            Some(Some(endpoints)) => endpoints.clone(),
            _ => return Err(FieldError::UndefinedPage { offset, page }),
        };
        reader.u64("serial")?;
        Ok(Event::EndpointList { kind, endpoints })
    }
}

fn decode_list_kind(reader: &mut Reader) -> Result<EndpointListKind, FieldError> {
    let (offset, field) = (reader.offset(), "list kind");
    match reader.u8(field)? {
        0 => Ok(EndpointListKind::Full),
        1 => Ok(EndpointListKind::Delta),
        2 => Ok(EndpointListKind::Failed),
        3 => Ok(EndpointListKind::Cached),
        other => Err(FieldError::UnknownValue { offset, field, value: other.into() }),
    }
}

fn decode_launch(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    let seed = reader.u64("rngSeed")?;
    let length = reader.u32("facts")? as usize;
    Ok(Record::Launch { instance, seed, settings: reader.take(length, "facts")?.to_vec() })
}

fn decode_request(reader: &mut Reader) -> Result<Event, FieldError> {
    let request = reader.u64("xid")?;
    let key = reader.u64("nameKey")?;
    let class = reader.u16("qos")?;
    reader.u8("stateBits")?;
    reader.f64("predicted")?;
    let tenant = reader.u16("customer")?;
    let deadline_ms = reader.f64("clientDeadline")?;
    let is_body_streamed = false;
    let arrival = RequestArrival { request, key, class, tenant, deadline_ms, is_body_streamed };
    Ok(Event::RequestArrived(arrival))
}

fn decode_attempt_finished(reader: &mut Reader) -> Result<Event, FieldError> {
    let request = reader.u64("xid")?;
    let latency_ms = reader.f64("waitTime")?;
    let is_request_closed = reader.u8("final")? != 0;
    let outcome = reader.outcome()?;
    let attempt = reader.u8("hop")?;
    let backend = reader.u32("backend")?;
    reader.skip_load_report()?;
    Ok(Event::AttemptFinished(AttemptResult {
        request,
        attempt,
        backend,
        outcome,
        latency_ms,
        is_request_closed,
        is_body_consumed: false,
    }))
}

fn skip_first_byte(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    reader.u64("xid")?;
    reader.u8("hop")?;
    reader.u32("backend")?;
    reader.f64("waitTime")?;
    Ok(Record::Ignored { instance })
}

fn skip_health_check(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    reader.f64("waitTime")?;
    reader.u32("backend")?;
    reader.outcome()?;
    reader.skip_load_report()?;
    Ok(Record::Ignored { instance })
}

fn skip_gossip(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    reader.u32("originPeer")?;
    let length = usize::from(reader.u16("bytes")?);
    reader.take(length, "bytes")?;
    Ok(Record::Ignored { instance })
}
