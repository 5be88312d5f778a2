//! Encodes replies. A reply holds the actions of all instances for one frame.

use foldhitch_balancer::api::Action;

/// Length of the length prefix of a reply in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Action codes.
mod code {
    pub(super) const SEND: u16 = 1;
    pub(super) const REJECT: u16 = 2;
    pub(super) const FAIL: u16 = 3;
    pub(super) const CANCEL: u16 = 4;
    pub(super) const SET_TIMER: u16 = 5;
    pub(super) const CLOSE_IDLE: u16 = 7;
    pub(super) const FATAL: u16 = 10;
    pub(super) const WATCH: u16 = 11;
}

/// Requests the endpoint list. The protocol can also cancel such a request, which the balancer never does.
const WATCH_ENABLED: u8 = 1;

/// A reply under construction. [`into_bytes`](Self::into_bytes) fills in its length prefix.
pub struct Reply {
    bytes: Vec<u8>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply { bytes: vec![0; LENGTH_PREFIX_BYTES] }
    }
}

impl Reply {
    /// Appends a report that the balancer of an instance panicked.
    pub fn push_fatal(&mut self, instance: u16, text: &str) {
        self.push_record_header(code::FATAL, instance);
        // The text is prefixed with its length as a u16 and cut to the maximum of that length.
        let length = text.len().min(usize::from(u16::MAX));
        self.bytes.extend((length as u16).to_le_bytes());
        self.bytes.extend(&text.as_bytes()[..length]);
    }

    /// Appends an action of an instance.
    pub fn push_action(&mut self, instance: u16, action: &Action) {
        match action {
            // The simulator sends an attempt at once.
            Action::Send { request, backend, expires_at_ms, .. } => {
                self.push_record_header(code::SEND, instance);
                self.bytes.extend(request.to_le_bytes());
                self.bytes.extend(backend.to_le_bytes());
                self.bytes.extend(expires_at_ms.to_le_bytes());
            }
            Action::Reject { request, retry_after_ms, .. } => {
                self.push_record_header(code::REJECT, instance);
                self.bytes.extend(request.to_le_bytes());
                self.bytes.extend(retry_after_ms.to_le_bytes());
            }
            Action::Fail { request, .. } => {
                self.push_record_header(code::FAIL, instance);
                self.bytes.extend(request.to_le_bytes());
            }
            Action::Cancel { request, attempt } => {
                self.push_record_header(code::CANCEL, instance);
                self.bytes.extend(request.to_le_bytes());
                self.bytes.push(*attempt);
            }
            Action::SetTimer { delay_ms, token } => {
                self.push_record_header(code::SET_TIMER, instance);
                self.bytes.extend(delay_ms.to_le_bytes());
                self.bytes.extend(token.0.to_le_bytes());
            }
            Action::CloseIdleConnections { backend } => {
                self.push_record_header(code::CLOSE_IDLE, instance);
                self.bytes.extend(backend.to_le_bytes());
            }
            Action::PollEndpoints => {
                self.push_record_header(code::WATCH, instance);
                self.bytes.push(WATCH_ENABLED);
            }
            // These actions follow operator commands, which this protocol does not carry.
            Action::SetSuspended { .. } | Action::SetDraining { .. } => {}
        }
    }

    /// Returns the encoded reply with its length prefix.
    pub fn into_bytes(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - LENGTH_PREFIX_BYTES) as u32;
        self.bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_le_bytes());
        self.bytes
    }

    fn push_record_header(&mut self, code: u16, instance: u16) {
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend(instance.to_le_bytes());
    }
}
