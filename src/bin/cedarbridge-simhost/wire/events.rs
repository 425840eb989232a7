//! Parses the simulator's events into events of the delivery policy.

use super::error::EventError;
use super::fields::Fields;
use super::instance::Instance;
use super::EndpointLists;
use cedarbridge::settings_json::{
    boolean, decode_endpoint_entry, index_of, micros_from_ms, number, string, unsigned,
};
use cedarbridge::{
    ClassId, DestinationId, EndpointListUpdate, Event, LoadReport, NewMessage, OrderKey, Outcome, TenantId,
};
use serde_json::Value;

/// The attribute bit of a message that was taken over from a forwarder that died.
const FAILED_OVER: u64 = 16;
/// The attribute bit of a message that its client marked as a retry.
const CLIENT_RETRY: u64 = 2;

/// Parses an event for an instance. `None` if the delivery policy has no use for it.
///
/// # Errors
///
/// If the event is unknown, or one of its fields is missing or invalid.
pub fn parse(
    name: &str,
    fields: Fields,
    instance: &mut Instance,
    lists: &EndpointLists,
) -> Result<Option<Event>, EventError> {
    let event = match name {
        "discovery" => Event::EndpointList(parse_endpoint_list_update(fields, instance, lists)?),
        "job-in" => Event::Message(parse_new_message(fields, instance)?),
        "head-received" => parse_started(fields, instance)?,
        "result" => parse_attempt_ended(fields, instance)?,
        "echo" => parse_health_checked(fields)?,
        "hangup" => Event::Withdrawn { id: instance.id_of(fields.string(1, "corr")?) },
        "bell" => Event::Timer { token: fields.unsigned(1, "ctx")? },
        "peer" => {
            fields.unsigned(1, "by")?;
            fields.string(2, "bytes")?;
            return Ok(None);
        }
        _ => return Err(EventError::UnknownEvent),
    };
    Ok(Some(event))
}

fn parse_endpoint_list_update(
    fields: Fields,
    instance: &Instance,
    lists: &EndpointLists,
) -> Result<EndpointListUpdate, EventError> {
    let scope = fields.string(1, "scope")?;
    fields.unsigned(2, "stamp")?;
    if scope == "broken" {
        return Ok(EndpointListUpdate::WatchFailed);
    }
    let number = fields.unsigned(3, "bank")?;
    let list = lists.get(&number).ok_or(EventError::UnknownList(number))?;
    let entries = list.iter().map(|entry| decode_endpoint_entry(entry, &instance.names));
    let entries = entries.collect::<Result<_, _>>()?;
    match scope.as_str() {
        "patch" => Ok(EndpointListUpdate::Patch(entries)),
        "whole" => Ok(EndpointListUpdate::Complete(entries)),
        "stale_copy" => Ok(EndpointListUpdate::Cached(entries)),
        _ => Err(EventError::UnknownScope(scope)),
    }
}

fn parse_new_message(fields: Fields, instance: &mut Instance) -> Result<NewMessage, EventError> {
    let names = &instance.names;
    let class = index_of(&names.classes, &fields.string(2, "service")?, "class")?;
    let tenant = fields.optional(3).and_then(Value::as_str);
    let tenant = tenant.map(|name| index_of(&names.tenants, name, "tenant").map(TenantId)).transpose();
    let tenant = tenant?;
    let order_key = fields.optional(4).map(parse_order_key).transpose()?;
    let name = fields.string(1, "corr")?;
    let attributes = fields.optional(8).map_or(Ok(0), unsigned)?;
    Ok(NewMessage {
        id: instance.add_message(name),
        class: ClassId(class),
        tenant,
        order_key,
        time_left: fields.micros(5, "time-left")?,
        destination: DestinationId(fields.unsigned(7, "terminates-at")?),
        failed_over: attributes & FAILED_OVER != 0,
        first_possible_effect: None,
        unknown_attempt_at: None,
        client_retry: attributes & CLIENT_RETRY != 0,
        restored: false,
        attempts: 0,
    })
}

fn parse_order_key(value: &Value) -> Result<OrderKey, EventError> {
    let digits = string(value)?;
    let key = u64::from_str_radix(&digits, 16);
    key.map(OrderKey).map_err(|_| EventError::KeyNotHexadecimal(value.clone()))
}

/// Parses the start of a response. The policy has no use for the other fields, but they must be valid.
fn parse_started(fields: Fields, instance: &mut Instance) -> Result<Event, EventError> {
    fields.micros(2, "elapsed")?;
    fields.unsigned(3, "endpoint")?;
    fields.unsigned(4, "round-no")?;
    Ok(Event::ResponseStarted { id: instance.id_of(fields.string(1, "corr")?) })
}

fn parse_attempt_ended(fields: Fields, instance: &mut Instance) -> Result<Event, EventError> {
    Ok(Event::AttemptEnded {
        id: instance.id_of(fields.string(1, "corr")?),
        attempt: fields.unsigned(2, "round-no")? as u32,
        endpoint: fields.endpoint(3)?,
        outcome: parse_outcome(fields.required(4, "code")?, fields.optional(7))?,
        elapsed: fields.micros(5, "elapsed")?,
        completes_message: fields.decode(6, "ended", boolean)?,
        report: parse_load_report(fields.optional(8))?,
    })
}

fn parse_health_checked(fields: Fields) -> Result<Event, EventError> {
    Ok(Event::HealthChecked {
        endpoint: fields.endpoint(1)?,
        outcome: parse_outcome(fields.required(2, "code")?, None)?,
        elapsed: fields.micros(3, "elapsed")?,
        report: parse_load_report(fields.optional(4))?,
    })
}

/// Parses the outcome of an attempt from its code. The note of a rejection is its retry-after in milliseconds, 0 for none.
fn parse_outcome(code: &Value, note: Option<&Value>) -> Result<Outcome, EventError> {
    let retry_after = note.map_or(Ok(0), micros_from_ms).map_err(EventError::Note)?;
    Ok(match unsigned(code)? {
        200 => Outcome::Ok,
        500 => Outcome::Error,
        503 => Outcome::Rejected((retry_after > 0).then_some(retry_after)),
        504 => Outcome::TimedOut,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        other => return Err(EventError::UnknownOutcome(other)),
    })
}

/// Parses the load report of a response: `x0` is the remaining share, `x1` the rate. `None` unless both are there.
fn parse_load_report(stats: Option<&Value>) -> Result<Option<LoadReport>, EventError> {
    let Some(stats) = stats else { return Ok(None) };
    let stats = stats.as_object().ok_or_else(|| EventError::StatsNotAnObject(stats.clone()))?;
    let (Some(share), Some(rate)) = (stats.get("x0"), stats.get("x1")) else { return Ok(None) };
    let remaining_share = number(share)?;
    let rate = number(rate)?;
    Ok(Some(LoadReport { remaining_share, rate }))
}
