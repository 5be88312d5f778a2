//! Finds the boundaries of responses in the bytes of a connection.

/// The start of every response.
const RESPONSE_START: &[u8] = b"HTTP/1.";
/// The offset of a response's status code.
const STATUS_OFFSET: usize = b"HTTP/1.1 ".len();
const STATUS_SERVED: &[u8] = b"200";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Returns whether bytes may start a response.
pub(in crate::upstream) fn is_response_start(bytes: &[u8]) -> bool {
    let length = bytes.len().min(RESPONSE_START.len());
    length > 0 && bytes[..length] == RESPONSE_START[..length]
}

/// Returns whether a response is an interim one, which the final response follows.
pub(super) fn is_interim(response: &[u8]) -> bool {
    response.starts_with(RESPONSE_START) && response.get(STATUS_OFFSET) == Some(&b'1')
}

/// Returns whether the status of a response says that the request was served.
pub(super) fn is_served(response: &[u8]) -> bool {
    response.get(STATUS_OFFSET..).is_some_and(|status| status.starts_with(STATUS_SERVED))
}

/// Returns a response without the interim ones before it.
pub(super) fn final_response(mut response: &[u8]) -> &[u8] {
    while is_interim(response) {
        let Some(end) = head_length(response) else { break };
        response = &response[end..];
    }
    response
}

/// Returns the length of a response's head, including the empty line at its end.
pub(super) fn head_length(response: &[u8]) -> Option<usize> {
    find(response, HEAD_END).map(|position| position + HEAD_END.len())
}

/// Returns whether a head contains the transfer coding `chunked`.
pub(super) fn is_chunked(head: &[u8]) -> bool {
    find(&head.to_ascii_lowercase(), b"chunked").is_some()
}

/// Returns whether a response starts inside the bytes, either at a position or so shortly before it that its
/// first bytes extend beyond the position.
pub(super) fn has_response_start_near(bytes: &[u8], position: usize) -> bool {
    let first = (position + 1).saturating_sub(RESPONSE_START.len()).max(1);
    (first..=position).any(|start| bytes.get(start..).is_some_and(|rest| rest.starts_with(RESPONSE_START)))
}

/// Returns the position of the first occurrence of a pattern.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Returns the length of the common prefix of two byte strings.
pub(super) fn common_prefix_length(left: &[u8], right: &[u8]) -> usize {
    left.iter().zip(right).take_while(|(left, right)| left == right).count()
}
