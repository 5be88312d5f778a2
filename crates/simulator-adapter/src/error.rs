//! Errors that end the adapter.

use foldhitch_balancer::api::SettingsError;
use foldhitch_balancer::settings_format::SettingsFormatError;
use std::io;

/// An error that ends the adapter.
///
/// Errors in the input carry their position: a byte offset from the start of the frame, which includes its
/// header.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Reading the input failed.
    #[error("frame: read failed: {0}")]
    Input(#[source] io::Error),
    /// Writing the output failed.
    #[error("reply: write failed: {0}")]
    Output(#[source] io::Error),
    /// The input ends within a frame header.
    #[error("frame: truncated header: {received} of {expected} bytes")]
    TruncatedHeader {
        /// Number of bytes that were read.
        received: usize,
        /// Length of a header in bytes.
        expected: usize,
    },
    /// The input ends within the records of a frame.
    #[error("frame: truncated records: {received} of {expected} bytes after the header")]
    TruncatedFrame {
        /// Number of bytes that were read.
        received: usize,
        /// Number of bytes that the header announces.
        expected: usize,
    },
    /// The header announces a length that is shorter than the clock field.
    #[error("frame: byte 4: length {length} is shorter than the clock field")]
    FrameTooShort {
        /// The announced length in bytes.
        length: usize,
    },
    /// A header field is invalid.
    #[error(transparent)]
    Header(FieldError),
    /// A record cannot be decoded.
    #[error("record {record}: {source}")]
    Malformed {
        /// Index of the record in its frame, from 0.
        record: u32,
        /// The field that is invalid.
        source: FieldError,
    },
    /// A record is well-formed but cannot be executed.
    #[error("record {record}: byte {offset}: {source}")]
    Rejected {
        /// Index of the record in its frame, from 0.
        record: u32,
        /// Offset of the first byte of the record.
        offset: usize,
        /// Why the record cannot be executed.
        source: RecordError,
    },
    /// The frame is longer than its records.
    #[error("byte {offset}: {count} bytes left over after the last record")]
    TrailingBytes {
        /// Offset of the first extra byte.
        offset: usize,
        /// Number of extra bytes.
        count: usize,
    },
}

/// An invalid field.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The bytes end within the field.
    #[error("byte {offset}: {field} is truncated")]
    Truncated {
        /// Offset of the first byte of the field.
        offset: usize,
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// The value is NaN or infinite.
    #[error("byte {offset}: {field} is not a finite number")]
    NotFinite {
        /// Offset of the first byte of the field.
        offset: usize,
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// The value is not one of the defined codes.
    #[error("byte {offset}: {field} {value} is unknown")]
    UnknownValue {
        /// Offset of the first byte of the field.
        offset: usize,
        /// Name of the field on the wire.
        field: &'static str,
        /// The invalid value.
        value: u32,
    },
    /// The value is above the maximum.
    #[error("byte {offset}: {field} {value} is out of range")]
    OutOfRange {
        /// Offset of the first byte of the field.
        offset: usize,
        /// Name of the field on the wire.
        field: &'static str,
        /// The invalid value.
        value: u32,
    },
    /// The field refers to a page that has not been defined.
    #[error("byte {offset}: page {page} was never defined")]
    UndefinedPage {
        /// Offset of the first byte of the field.
        offset: usize,
        /// The page number.
        page: u32,
    },
}

/// A reason why a record cannot be executed.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record addresses an instance that is not running.
    #[error("instance {0} is unknown")]
    UnknownInstance(u16),
    /// The settings of an instance cannot be parsed.
    #[error(transparent)]
    SettingsFormat(#[from] SettingsFormatError),
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
