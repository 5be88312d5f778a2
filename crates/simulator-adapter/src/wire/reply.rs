//! Replies: the actions of all instances on a frame.

use foldhitch_balancer::api::Action;

/// Length of a reply's length, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Codes of actions.
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

/// The wire can also say that the list is no longer wanted, which the balancer never does.
const WATCH_ENABLED: u8 = 1;

/// A reply under construction; its length goes in front when it is finished.
pub struct Reply {
    bytes: Vec<u8>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply { bytes: vec![0; LENGTH_PREFIX_BYTES] }
    }
}

impl Reply {
    /// Reports that an instance's decision code failed.
    pub fn push_fatal(&mut self, instance: u16, text: &str) {
        self.push_record_header(code::FATAL, instance);
        // Counted bytes, cut to what the count can say.
        let length = text.len().min(usize::from(u16::MAX));
        self.bytes.extend((length as u16).to_le_bytes());
        self.bytes.extend(&text.as_bytes()[..length]);
    }

    /// Adds an instance's action.
    pub fn push_action(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Send { request, backend, expires_at_ms } => {
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
            // What answers an operator's call; none comes over this wire.
            Action::SetSuspended { .. } | Action::SetDraining { .. } => {}
        }
    }

    /// The whole reply.
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
