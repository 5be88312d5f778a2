//! Parses and validates request heads according to the settings.

use super::response::{ClientResponse, closing_response, empty_response, wrong_method_response};
use crate::transport::MAX_HEADERS;
use foldhitch_balancer::api::Idempotency;
use foldhitch_balancer::settings_format::ResolvedSettings;
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::time::Duration;

/// Upper bound for the client timeout that a request states, in milliseconds.
const MAX_CLIENT_TIMEOUT_MS: u64 = 600_000;

/// The error response to a request that is not accepted.
pub(super) type Rejection = Box<ClientResponse>;

/// The content of a valid head.
#[derive(Clone)]
pub(super) struct ParsedHead {
    /// The value of `Req-Id`.
    pub(super) id: HeaderValue,
    /// Index of the request class in the settings.
    pub(super) class: u16,
    /// Index of the tenant in the settings.
    pub(super) tenant: u16,
    /// The client timeout.
    pub(super) client_timeout: Duration,
    /// The value of `Idempotency-Key`, if there is one.
    pub(super) idempotency_key: Option<HeaderValue>,
}

/// Returns the response to a malformed request. It closes the connection, on which nothing more can be read.
pub(super) fn bad_request() -> Rejection {
    Box::new(closing_response(StatusCode::BAD_REQUEST))
}

/// Returns the class name of a request: the first segment of its path.
pub(super) fn class_name(head: &Parts) -> &str {
    let path = head.uri.path().trim_start_matches('/');
    path.split('/').next().unwrap_or_default()
}

/// Returns the ordering key of a request, from the query parameter `k`, if there is one.
pub(super) fn ordering_key(head: &Parts) -> Option<String> {
    let query = head.uri.query()?;
    let key = query.split('&').find_map(|parameter| parameter.strip_prefix("k="))?;
    if key.is_empty() { None } else { Some(key.to_string()) }
}

/// Parses and validates a head. Returns the error response if it is not valid.
pub(super) fn parse_head(
    settings: &ResolvedSettings,
    head: &Parts,
    has_body: bool,
) -> Result<ParsedHead, Rejection> {
    let name = class_name(head);
    let class = settings.site.class_names.iter().position(|class| class == name);
    let class = class.ok_or_else(|| Box::new(empty_response(StatusCode::NOT_FOUND)))?;
    let id = single_header(&head.headers, "req-id").ok_or_else(bad_request)?.clone();
    let tenant = parse_tenant(&settings.site.tenant_names, head)?;
    let client_timeout = parse_client_timeout(head).ok_or_else(bad_request)?;
    let idempotency_key = single_header(&head.headers, "idempotency-key").cloned();
    let idempotency = settings.balancer.classes[class].idempotency;
    check_method(idempotency, head)?;
    check_idempotency(idempotency, idempotency_key.is_some(), has_body)?;
    Ok(ParsedHead { id, class: class as u16, tenant, client_timeout, idempotency_key })
}

fn parse_tenant(tenants: &[String], head: &Parts) -> Result<u16, Rejection> {
    if tenants.is_empty() {
        return Ok(0);
    }
    let owner = single_header(&head.headers, "req-owner").and_then(|owner| owner.to_str().ok());
    let index = tenants.iter().position(|tenant| Some(tenant.as_str()) == owner);
    Ok(index.ok_or_else(bad_request)? as u16)
}

fn parse_client_timeout(head: &Parts) -> Option<Duration> {
    let text = single_header(&head.headers, "req-deadline-ms")?.to_str().ok()?;
    // Parsing alone would accept a sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let milliseconds: u64 = text.parse().ok()?;
    Some(Duration::from_millis(milliseconds.min(MAX_CLIENT_TIMEOUT_MS)))
}

fn check_method(idempotency: Idempotency, head: &Parts) -> Result<(), Rejection> {
    let allowed = match idempotency {
        Idempotency::Idempotent => Method::GET,
        Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent => Method::POST,
    };
    if head.method == allowed { Ok(()) } else { Err(Box::new(wrong_method_response(&allowed))) }
}

fn check_idempotency(idempotency: Idempotency, has_key: bool, has_body: bool) -> Result<(), Rejection> {
    let is_valid = match idempotency {
        Idempotency::Idempotent => !has_body,
        Idempotency::Deduplicated { .. } => has_key,
        Idempotency::NonIdempotent => !has_key,
    };
    if is_valid { Ok(()) } else { Err(bad_request()) }
}

/// Checks the framing of a body: the only transfer coding allowed is `chunked`, without a `Content-Length`.
/// The HTTP library removes such a length, so the head is parsed once more from `raw_head`, the bytes as
/// received. A chunked request is rejected if its head was not captured separately, because its headers can't
/// be checked then.
pub(super) fn check_framing(head: &Parts, raw_head: &[u8]) -> Result<(), Rejection> {
    let codings: Vec<&HeaderValue> = head.headers.get_all(TRANSFER_ENCODING).iter().collect();
    let is_valid = match codings[..] {
        [] => true,
        [coding] => coding.as_bytes().eq_ignore_ascii_case(b"chunked") && has_no_length(raw_head),
        _ => false,
    };
    if is_valid { Ok(()) } else { Err(bad_request()) }
}

/// Returns how many bytes of a body were not read together with its head, or `None` if that is unknown.
/// `length` is the body's length, if it is known.
pub(super) fn unread_body_bytes(raw_head: &[u8], length: Option<u64>) -> Option<u64> {
    let length = length?;
    if length == 0 {
        return Some(0);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::Request::new(&mut headers).parse(raw_head) {
        Ok(httparse::Status::Complete(head_length)) => {
            let read = (raw_head.len() - head_length) as u64;
            Some(length.saturating_sub(read))
        }
        Ok(httparse::Status::Partial) | Err(_) => None,
    }
}

fn has_no_length(raw_head: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let is_complete = matches!(request.parse(raw_head), Ok(httparse::Status::Complete(_)));
    is_complete && request.headers.iter().all(|header| !header.name.eq_ignore_ascii_case("content-length"))
}

/// Returns the value of a header that occurs exactly once and is not empty.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if value.is_empty() || values.next().is_some() { None } else { Some(value) }
}
