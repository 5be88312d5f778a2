//! Why the adapter ends early.

use foldhitch_balancer::api::SettingsError;
use foldhitch_balancer::settings_format::SettingsFormatError;
use std::io;

/// Why the adapter ends early. What is wrong with the input is named by its place in it, in bytes.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input can't be read.
    #[error("frame: {0}")]
    Input(#[source] io::Error),
    /// The output can't be written.
    #[error("reply: {0}")]
    Output(#[source] io::Error),
    /// The input ends within a header.
    #[error("frame: truncated in its header, {received} of {expected} bytes")]
    TruncatedHeader {
        /// Bytes that came.
        received: usize,
        /// Bytes of a header.
        expected: usize,
    },
    /// The input ends within a frame.
    #[error("frame: truncated, {received} of {expected} bytes after the header")]
    TruncatedFrame {
        /// Bytes that came.
        received: usize,
        /// Bytes that the header announces.
        expected: usize,
    },
    /// The header announces less than a clock.
    #[error("frame: byte 4: length {length} is shorter than the clock")]
    FrameTooShort {
        /// Bytes that it announces.
        length: usize,
    },
    /// A field of a header is wrong.
    #[error(transparent)]
    Header(FieldError),
    /// A record is malformed.
    #[error("record {record}: {source}")]
    Malformed {
        /// Its number in the frame.
        record: u32,
        /// What is wrong with it.
        source: FieldError,
    },
    /// A record can't be carried out.
    #[error("record {record}: byte {offset}: {source}")]
    Rejected {
        /// Its number in the frame.
        record: u32,
        /// Where it begins.
        offset: usize,
        /// Why it can't be carried out.
        source: RecordError,
    },
    /// Bytes follow the last record.
    #[error("byte {offset}: {count} bytes left over after the last record")]
    TrailingBytes {
        /// Where they begin.
        offset: usize,
        /// How many there are.
        count: usize,
    },
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The bytes end within it.
    #[error("byte {offset}: truncated in {field}")]
    Truncated {
        /// Where it begins.
        offset: usize,
        /// Its name.
        field: &'static str,
    },
    /// It holds no number.
    #[error("byte {offset}: {field} is not finite")]
    NotFinite {
        /// Where it begins.
        offset: usize,
        /// Its name.
        field: &'static str,
    },
    /// It holds a number that means nothing.
    #[error("byte {offset}: {field} {value} is unknown")]
    UnknownValue {
        /// Where it begins.
        offset: usize,
        /// Its name.
        field: &'static str,
        /// The number.
        value: u32,
    },
    /// It holds a number that is too high.
    #[error("byte {offset}: {field} {value} is out of range")]
    OutOfRange {
        /// Where it begins.
        offset: usize,
        /// Its name.
        field: &'static str,
        /// The number.
        value: u32,
    },
    /// It names a list that was never defined.
    #[error("byte {offset}: page {page} was never defined")]
    UndefinedPage {
        /// Where it begins.
        offset: usize,
        /// Its number.
        page: u32,
    },
}

/// Why a record can't be carried out.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It is for an instance that does not run.
    #[error("instance {0} is unknown")]
    UnknownInstance(u16),
    /// An instance's settings can't be read.
    #[error(transparent)]
    SettingsFormat(#[from] SettingsFormatError),
    /// An instance can't work by its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
