//! Parses the message in a client's request from its headers and body.

use crate::net::config::Config;
use crate::net::http::{Headers, RequestHead};
use crate::net::in_flight::Request;
use crate::net::message_body::MessageBody;
use crate::settings_json::{index_of, Names, UnknownName};
use crate::{ClassId, DestinationId, Micros, TenantId};

/// The headers that describe a message. Each may occur only once, as a repeated one would be ambiguous.
const MESSAGE_HEADERS: [&str; 7] =
    ["X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Addressing", "Idempotency-Key", "X-Retry"];
/// The longest request id or idempotency key, in bytes.
const MAX_ID_BYTES: usize = 256;
/// The longest time left that is read from `X-Deadline`, in microseconds. It is capped so that adding it to a time does not
/// overflow.
const MAX_TIME_LEFT_US: f64 = 1e15;

/// Why a request is answered with status 400.
#[derive(Debug, thiserror::Error)]
pub(super) enum BadRequest {
    /// A required header is missing or empty.
    #[error("no {0}")]
    MissingHeader(&'static str),
    /// A header occurs more than once.
    #[error("{0} comes twice")]
    RepeatedHeader(&'static str),
    /// The request id or the idempotency key is too long or has characters other than visible ASCII.
    #[error("an id or key is not plain text of at most {MAX_ID_BYTES} characters")]
    MalformedId,
    /// The class or tenant is not configured.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The class deduplicates by idempotency key, and the request has none.
    #[error("no Idempotency-Key, which this class needs")]
    MissingKey,
    /// `X-Addressing` has no `dest` parameter, or its value is not a number.
    #[error("X-Addressing names no dest")]
    MissingDestination,
    /// `X-Deadline` is not a number with a unit.
    #[error("X-Deadline is not a time")]
    MalformedDeadline,
}

/// Reads a message. Its deadline counts from `earliest_sent_at`, the earliest time at which its client may have sent it, in
/// microseconds of the monotonic clock, and is capped at the deadline that is configured for its class.
///
/// # Errors
///
/// Returns an error if a header is missing, repeated or malformed, or names a class or tenant that is not configured.
pub(super) fn read_message(
    head: &RequestHead,
    body: MessageBody,
    earliest_sent_at: Micros,
    names: &Names,
    config: &Config,
) -> Result<Request, BadRequest> {
    let headers = &head.headers;
    if let Some(name) = MESSAGE_HEADERS.iter().find(|name| headers.count(name) > 1) {
        return Err(BadRequest::RepeatedHeader(name));
    }
    let request_id = required_header(headers, "X-Request-Id")?;
    let key = optional_header(headers, "Idempotency-Key");
    if !is_id(request_id) || key.is_some_and(|key| !is_id(key)) {
        return Err(BadRequest::MalformedId);
    }
    let class = index_of(&names.classes, required_header(headers, "X-Class")?, "class");
    let class = ClassId(class?);
    let tenant = read_tenant(headers, names)?;
    if key.is_none() && config.requires_key[class.0] {
        return Err(BadRequest::MissingKey);
    }
    let destination = read_destination(required_header(headers, "X-Addressing")?)?;
    let time_left =
        read_time(required_header(headers, "X-Deadline")?).ok_or(BadRequest::MalformedDeadline)?;
    let retry = optional_header(headers, "X-Retry");
    Ok(Request {
        request_id: request_id.to_owned(),
        key: key.map(str::to_owned),
        class,
        tenant,
        destination,
        deadline: earliest_sent_at + time_left.min(config.deadlines[class.0]),
        body,
        client_retry: retry == Some("1"),
        failed_over: retry == Some("again"),
    })
}

/// The value of a header; `None` if it is missing or empty.
fn optional_header<'a>(headers: &'a Headers, name: &'static str) -> Option<&'a str> {
    headers.get(name).filter(|value| !value.is_empty())
}

fn required_header<'a>(headers: &'a Headers, name: &'static str) -> Result<&'a str, BadRequest> {
    optional_header(headers, name).ok_or(BadRequest::MissingHeader(name))
}

fn is_id(text: &str) -> bool {
    text.len() <= MAX_ID_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn read_tenant(headers: &Headers, names: &Names) -> Result<Option<TenantId>, BadRequest> {
    match optional_header(headers, "X-Tenant") {
        Some(name) => {
            let tenant = index_of(&names.tenants, name, "tenant")?;
            Ok(Some(TenantId(tenant)))
        }
        None if names.tenants.is_empty() => Ok(None),
        None => Err(BadRequest::MissingHeader("X-Tenant")),
    }
}

/// Reads the destination from the value of `X-Addressing`, such as `dest=7`; other parameters are ignored.
fn read_destination(addressing: &str) -> Result<DestinationId, BadRequest> {
    let mut parameters = addressing.split([',', ';']).filter_map(|p| p.trim().split_once('='));
    let destination = parameters.find(|(name, _)| *name == "dest");
    let destination = destination.and_then(|(_, value)| value.parse().ok());
    destination.map(DestinationId).ok_or(BadRequest::MissingDestination)
}

/// Reads a number with its unit, `m` for milliseconds or `u` for microseconds; returns microseconds.
fn read_time(text: &str) -> Option<Micros> {
    let (number, unit_in_us) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1000.0),
        (None, Some(number)) => (number, 1.0),
        (None, None) => return None,
    };
    let number = number.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)?;
    Some((number * unit_in_us).min(MAX_TIME_LEFT_US) as Micros)
}
