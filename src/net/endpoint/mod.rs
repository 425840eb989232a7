//! An endpoint's actor: its pool of connections and the calls on them.

pub mod table;

use crate::invariants::connection::reusable_until;
use crate::invariants::{may_reuse, may_send, IdleFacts, SendFacts, SendPermit, SendRefusal, Violation};
use crate::journal::AttemptStart;
use crate::net::call::{AttemptResult, Call, CallCompletion, CallResult};
use crate::net::dial::connect_within;
use crate::net::http::{HttpConnection, HttpError, ResponseHead};
use crate::net::messages::{DeliveryMessage, EndpointMessage};
use crate::net::Context;
use crate::{EndpointId, LoadReport, Micros, Outcome, ZoneId};
use async_channel::{Receiver, Sender, WeakSender};
use async_io::Timer;
use futures_lite::future;
use slog::{info, warn};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const ANSWER_LIMIT: usize = 64 * 1024;
/// An answer that has begun and does not go on for so long is spoilt: its call must not keep a slot until it is
/// cut, and its connection is of no more use.
const STALL: Duration = Duration::from_millis(500);
/// The same for the rest of one that has already said what matters.
const REST: Duration = Duration::from_millis(50);
/// How long an answer may still be on its way after its call was given up: as long as one may pause.
const HEARS_OUT: Duration = STALL;
/// A connection that breaks within this after the request was broken before: no destination works so fast.
pub const AT_ONCE: Micros = 50_000;
/// No destination takes more calls a second than that.
const MOST_CALLS: f64 = 1e6;

struct Idle {
    wire: HttpConnection,
    address: Option<SocketAddr>,
    until: Micros,
}

/// A peer's connections that carry nothing.
struct Pool {
    context: Rc<Context>,
    endpoint: EndpointId,
    idle: Vec<Idle>,
}

impl Pool {
    fn keep(&mut self, wire: HttpConnection) {
        let kept = &self.context.idle_endpoint_connections;
        if kept.get() >= self.context.config().max_idle_connections() {
            return self.closed("no-room");
        }
        kept.set(kept.get() + 1);
        let span = self.context.config().endpoint_idle_timeout;
        let until = reusable_until(self.context.clock.now(), span);
        let address = wire.peer();
        self.idle.push(Idle { wire, address, until });
    }

    fn remove(&mut self, at: usize) -> HttpConnection {
        self.context.idle_endpoint_connections.set(self.context.idle_endpoint_connections.get() - 1);
        self.idle.remove(at).wire
    }

    fn closed(&self, reason: &str) {
        info!(self.context.log, "connection ended"; "side" => "peer", "endpoint" => self.endpoint.0, "reason" => reason);
    }

    /// The connection used last: the others may grow old and be given up.
    fn take(&mut self) -> Option<HttpConnection> {
        self.tidy();
        (!self.idle.is_empty()).then(|| self.remove(self.idle.len() - 1))
    }

    fn close_all(&mut self, reason: &str) {
        while !self.idle.is_empty() {
            drop(self.remove(0));
            self.closed(reason);
        }
    }

    /// Gives up what is too old, leads to an address of the past, or was ended by the other side. Guards against a call written to a connection
    /// that is already closed: it would count as one that may have run.
    fn tidy(&mut self) {
        let now = self.context.clock.now();
        let address = self.context.endpoint_table.get(self.endpoint).map(|k| k.address);
        let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
        for at in (0..self.idle.len()).rev() {
            let idle = &mut self.idle[at];
            let facts = IdleFacts {
                now,
                reusable_until: idle.until,
                address_is_current: idle.address == address,
                disturbance: idle.wire.poll_disturbed(&mut cx),
            };
            if let Err(reason) = may_reuse(&facts) {
                drop(self.remove(at));
                self.closed(reason.name());
            }
        }
    }

    /// Comes back once an idle connection is disturbed or too old.
    async fn stir(&mut self) {
        let Some(first) = self.idle.iter().map(|i| i.until).min() else { return future::pending().await };
        let clock = self.context.clock;
        let old = async {
            Timer::at(clock.at(first)).await;
        };
        let idle = &mut self.idle;
        let disturbed = future::poll_fn(|cx| {
            let any = idle.iter_mut().any(|i| i.wire.poll_disturbed(cx).is_some());
            if any {
                std::task::Poll::Ready(())
            } else {
                std::task::Poll::Pending
            }
        });
        future::or(old, disturbed).await;
    }
}

/// Runs a peer until its mailbox is closed and its calls are done.
pub async fn run(
    context: Rc<Context>,
    endpoint: EndpointId,
    mail: Receiver<EndpointMessage>,
    own: WeakSender<EndpointMessage>,
) {
    let mut pool = Pool { context: context.clone(), endpoint, idle: Vec::new() };
    loop {
        let stirred = async {
            pool.stir().await;
            None
        };
        match future::or(async { Some(mail.recv().await) }, stirred).await {
            None => pool.tidy(),
            Some(Ok(EndpointMessage::Call(pass))) => {
                let used = pool.take();
                // Where the list has let go of this peer, its last connections are not kept.
                let back = own.upgrade();
                context.executor.spawn(call(context.clone(), pass, used, back)).detach();
            }
            Some(Ok(EndpointMessage::CloseIdle)) => pool.close_all("close-idle"),
            Some(Ok(EndpointMessage::ReturnConnection(wire))) => pool.keep(wire),
            Some(Err(_)) => return pool.close_all("left"),
        }
    }
}

/// Makes a call and reports its end.
async fn call(
    context: Rc<Context>,
    pass: Call,
    used: Option<HttpConnection>,
    back: Option<Sender<EndpointMessage>>,
) {
    context.calls_in_flight.set(context.calls_in_flight.get() + 1);
    let mut waited_for = vec![true; pass.attempts.len()];
    let mut ended = attend(&context, &pass, used, back, &mut waited_for).await;
    if let Some(wait) = ended.retry_after {
        context.endpoint_table.retry_after(pass.endpoint, wait);
    }
    let left: Vec<usize> = (0..pass.attempts.len()).filter(|i| waited_for[*i]).collect();
    ended.attempts = left.iter().map(|i| ended.attempts[*i]).collect();
    let pass = pass.with(&left);
    // Only now, with the connection dropped or idle, may the module know: its next attempt must not find this
    // one still out.
    let _ = context.delivery.send(DeliveryMessage::CallCompleted(pass.completed(ended))).await;
    context.calls_in_flight.set(context.calls_in_flight.get() - 1);
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Dialing,
    Barred,
    Writing,
    Written,
}

enum Stop {
    Answer(ResponseHead, Vec<u8>),
    Broke(HttpError),
    Barred,
    /// Nothing could be noted of it in the journal.
    Unnoted,
    Cut,
    CalledOff,
}

async fn attend(
    context: &Rc<Context>,
    pass: &Call,
    used: Option<HttpConnection>,
    back: Option<Sender<EndpointMessage>>,
    waited_for: &mut [bool],
) -> CallResult {
    let stage = Cell::new(Stage::Dialing);
    let written = Cell::new(None);
    let told = Cell::new(None);
    let reused = used.is_some();
    let mut slot = used;
    let mut head = None;
    let clock = context.clock;
    let stop = {
        let mut exchange =
            std::pin::pin!(exchange(context, pass, &mut slot, &stage, &written, &mut head, &told));
        loop {
            let cut = async {
                Timer::at(clock.at(pass.first_timeout(waited_for))).await;
                Stop::Cut
            };
            let called_off = async {
                let _ = pass.cancelled.recv().await;
                Stop::CalledOff
            };
            let stop = future::or(exchange.as_mut(), future::or(cut, called_off)).await;
            let cut = matches!(stop, Stop::Cut) && stage.get() == Stage::Written;
            let lapsed = || pass.expired(clock.now(), waited_for);
            let Some(lapsed) = cut.then(lapsed).flatten() else { break stop };
            lapsed.iter().for_each(|i| waited_for[*i] = false);
            let ended = CallResult::same_for_all(lapsed.len(), AttemptResult::of(Outcome::TimedOut));
            let _ = context
                .delivery
                .send(DeliveryMessage::CallCompleted(pass.with(&lapsed).completed(ended)))
                .await;
        }
    };
    let parts = pass.attempts.len();
    if reused && stage.get() != Stage::Dialing && stage.get() != Stage::Barred {
        context.counters.reused.add();
    }
    let closed = |reason: &str| {
        info!(context.log, "connection ended"; "side" => "peer", "endpoint" => pass.endpoint.0, "reason" => reason);
    };
    // A first line with 200 delivers a single message, whatever becomes of the rest.
    let delivered = parts == 1 && (head == Some(200) || slot.as_ref().is_some_and(starts_with_ok));
    let nothing_came = head.is_none() && slot.as_ref().is_none_or(|w| w.buffer.bytes().is_empty());
    let since = written.get().map(|at| clock.now() - at).filter(|_| reused && nothing_came);
    let given_up = matches!(stop, Stop::Cut | Stop::CalledOff) && stage.get() == Stage::Written;
    let (outcome, reason) = match stop {
        Stop::Answer(answer, body) => {
            let ended = read_answer(context, pass, &answer, &body, told.get(), reused);
            let crowded_out = ended.attempts.iter().any(|e| e.outcome == Outcome::ConnectFailed);
            match (slot.take(), back) {
                (Some(wire), Some(back)) if answer.keeps && wire.buffer.bytes().is_empty() => {
                    let _ = back.send(EndpointMessage::ReturnConnection(wire)).await;
                }
                _ => closed(if crowded_out { "crowded-out" } else { "answered" }),
            }
            return ended;
        }
        // Not sent after all, so the connection is as good as before.
        Stop::Barred | Stop::Unnoted => {
            if let (Some(wire), Some(back)) = (slot.take(), back) {
                let _ = back.send(EndpointMessage::ReturnConnection(wire)).await;
            }
            let unnoted = matches!(stop, Stop::Unnoted);
            let outcome = if unnoted { Outcome::NotJournaled } else { Outcome::NotSent };
            return CallResult::same_for_all(parts, AttemptResult::of(outcome));
        }
        Stop::Broke(e) if stage.get() == Stage::Written => broke(&e, since),
        Stop::Broke(_) => (Outcome::ConnectFailed, "connect-failed"),
        Stop::Cut if stage.get() == Stage::Written => (Outcome::TimedOut, "cut"),
        Stop::Cut => (Outcome::ConnectFailed, "cut-before-sent"),
        Stop::CalledOff if stage.get() == Stage::Written => (Outcome::Cancelled, "called-off"),
        Stop::CalledOff => (Outcome::NotSent, "called-off-before-sent"),
    };
    if let Some(wire) = slot.take().filter(|_| given_up && head.is_none()) {
        hear_out(context, pass.endpoint, wire);
    }
    closed(reason);
    let end = AttemptResult::of(if delivered { Outcome::Ok } else { outcome });
    CallResult { retry_after: told.get(), ..CallResult::same_for_all(parts, end) }
}

/// Listens a little longer on the connection of a call that was given up: what the endpoint had answered by then
/// may tell a wait, which binds from the moment it was written. Guards against calls during a wait that nobody read.
fn hear_out(context: &Rc<Context>, endpoint: EndpointId, mut wire: HttpConnection) {
    let hearing = context.late_answer_readers.get();
    // The calls of half a second, all given up, are no more than that.
    if hearing >= context.config().max_concurrent_calls {
        return;
    }
    wire.end_sending();
    context.late_answer_readers.set(hearing + 1);
    let executor = context.executor.clone();
    let context = context.clone();
    let listening = async move {
        let late = async {
            Timer::after(HEARS_OUT).await;
            None
        };
        let answer = async { wire.read_answer().await.ok() };
        if let Some(wait) = future::or(answer, late).await.as_ref().and_then(read_wait) {
            info!(context.log, "wait heard late"; "endpoint" => endpoint.0, "ms" => wait / 1000);
            context.endpoint_table.retry_after(endpoint, wait);
            let ended = CallResult {
                retry_after: Some(wait),
                ..CallResult::same_for_all(0, AttemptResult::of(Outcome::NotSent))
            };
            let came =
                CallCompletion { endpoint, sent: context.clock.now(), attempts: Vec::new(), result: ended };
            let _ = context.delivery.send(DeliveryMessage::CallCompleted(came)).await;
        }
        context.late_answer_readers.set(context.late_answer_readers.get() - 1);
    };
    executor.spawn(listening).detach();
}

/// What a broken connection means, with the code of the reason. What breaks at once was broken before: kept
/// connections die unnoticed, and that tells little of the endpoint. The time is that since the request was
/// written, told only where the connection had been used before and no answer had begun.
pub fn broke(e: &HttpError, since: Option<Micros>) -> (Outcome, &'static str) {
    match e {
        HttpError::Ended | HttpError::Socket(_) if since.is_some_and(|t| t < AT_ONCE) => {
            (Outcome::StaleConnection, "stale")
        }
        e => (Outcome::Reset, e.code()),
    }
}

/// The head cannot be read, but its first line is whole and says 200.
fn starts_with_ok(wire: &HttpConnection) -> bool {
    let mut lines = wire.buffer.bytes().split_inclusive(|b| *b == b'\n');
    let first = lines.next().and_then(|l| l.strip_suffix(b"\n")).unwrap_or_default();
    let mut words = first.trim_ascii_end().split(|b| *b == b' ');
    matches!(words.next(), Some(b"HTTP/1.1" | b"HTTP/1.0")) && words.next() == Some(b"200")
}

async fn exchange(
    context: &Rc<Context>,
    pass: &Call,
    slot: &mut Option<HttpConnection>,
    stage: &Cell<Stage>,
    written: &Cell<Option<Micros>>,
    status: &mut Option<u16>,
    told: &Cell<Option<Micros>>,
) -> Stop {
    if slot.is_none() {
        match dial(context, pass.endpoint).await {
            Ok(wire) => *slot = Some(wire),
            Err(e) => return Stop::Broke(e),
        }
    }
    let wire = slot.as_mut().expect("just made");
    wire.stall = Some(STALL);
    context.list_received.wait().await;
    context.stall_detector.until_caught_up(&context.clock).await;
    if let Err(refusal) = may_send(&send_facts(context, pass)) {
        return not_sent(context, pass, stage, refusal);
    }
    let zone = context.endpoint_table.get(pass.endpoint).map(|k| k.zone);
    let zone_name = zone.map(|z| context.config().names.zones[z.0].clone()).unwrap_or_default();
    for part in &pass.attempts {
        let start = AttemptStart { started_at: pass.sent, zone: zone_name.clone() };
        if context.journal.record_attempt(part.message.id, part.number, start).is_err() {
            return not_sent(context, pass, stage, SendRefusal::JournalFailing);
        }
    }
    // Writing that down may have taken a while.
    let permit = match may_send(&send_facts(context, pass)) {
        Ok(permit) => permit,
        Err(refusal) => return not_sent(context, pass, stage, refusal),
    };
    stage.set(Stage::Writing);
    note_first_byte(context, pass, zone.unwrap_or_default());
    if let Err(e) = write_call(wire, permit, &request(pass, context.clock.now())).await {
        return Stop::Broke(HttpError::Socket(e));
    }
    stage.set(Stage::Written);
    written.set(Some(context.clock.now()));
    let answer = match wire.read_answer().await {
        Ok(answer) => answer,
        Err(e) => return Stop::Broke(e),
    };
    *status = Some(answer.status);
    // It binds whatever becomes of the body.
    told.set(read_wait(&answer));
    if answer.status == 200 && pass.attempts.len() == 1 {
        // It is delivered; the rest only decides on the connection.
        wire.stall = Some(REST);
    }
    match wire.answer_body(&answer, ANSWER_LIMIT).await {
        Ok(body) => Stop::Answer(answer, body),
        Err(e) => Stop::Broke(e),
    }
}

/// All that binds the first byte of a call now.
fn send_facts(context: &Context, pass: &Call) -> SendFacts {
    SendFacts {
        now: context.clock.now(),
        message_complete: pass.attempts.iter().any(|p| p.message.is_over()),
        handed_over: context.journal.is_paused(),
        journal_writable: context.journal.is_writable(),
        abandon_at: pass.first_timeout(&vec![true; pass.attempts.len()]),
        send_by: pass.send_by(),
        drain_grace: context.endpoint_table.grace(),
        endpoint: context.endpoint_table.facts(pass.endpoint),
    }
}

/// Tells why a call is held back.
fn not_sent(context: &Context, pass: &Call, stage: &Cell<Stage>, why: SendRefusal) -> Stop {
    for part in &pass.attempts {
        context.counters.not_sent(why);
        info!(context.log, "not sent"; "id" => &part.message.request.request_id, "attempt" => part.number,
            "endpoint" => pass.endpoint.0, "reason" => why.name());
    }
    stage.set(Stage::Barred);
    match why {
        SendRefusal::JournalFailing => Stop::Unnoted,
        _ => Stop::Barred,
    }
}

/// Counts and logs a call whose first byte is about to be written, and holds it against the rules.
fn note_first_byte(context: &Context, pass: &Call, zone: ZoneId) {
    let now = context.clock.now();
    let facts = context.endpoint_table.facts(pass.endpoint);
    let leaves =
        facts.and_then(|f| f.draining_since).is_some_and(|t| now > t + context.endpoint_table.grace());
    let waits = facts.and_then(|f| f.retry_after).is_some_and(|t| now < t);
    for part in &pass.attempts {
        let id = &part.message.request.request_id;
        let done = context.ledger.borrow_mut().attempt_started(part.message.id, part.number, now, zone);
        let leaves = leaves.then_some(Violation::SentToDraining);
        let waits = waits.then_some(Violation::SentWithinRetryAfter);
        for violation in [done, leaves, waits].into_iter().flatten() {
            context.violated(violation, id, Some(pass.endpoint));
        }
        info!(context.log, "message"; "state" => "attempt", "id" => id, "attempt" => part.number,
            "endpoint" => pass.endpoint.0, "left_ms" => part.timeout_at.saturating_sub(now) / 1000);
    }
    context.endpoint_table.first_byte(pass.endpoint);
    context.counters.calls.add();
    context.counters.attempts.more(pass.attempts.len());
}

/// Writes a call; nothing else does.
async fn write_call(wire: &mut HttpConnection, _permit: SendPermit, bytes: &[u8]) -> std::io::Result<()> {
    wire.write(bytes).await
}

async fn dial(context: &Rc<Context>, endpoint: EndpointId) -> Result<HttpConnection, HttpError> {
    let Some(known) = context.endpoint_table.get(endpoint) else {
        return Err(HttpError::Malformed("unknown endpoint"));
    };
    context.counters.opened.add();
    let span = Duration::from_micros(context.config().dial_timeout);
    Ok(HttpConnection::new(connect_within(known.address, span).await?))
}

fn request(pass: &Call, now: Micros) -> Vec<u8> {
    let patience = (pass.last_timeout().saturating_sub(now) / 1000).max(1);
    let mut body = Vec::new();
    let mut head = String::new();
    if let [part] = pass.attempts.as_slice() {
        let r = &part.message.request;
        head.push_str("POST /v1/messages HTTP/1.1\r\n");
        head.push_str(&format!("X-Request-Id: {}\r\n", r.request_id));
        if let Some(key) = &r.key {
            head.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        body.extend_from_slice(&r.body);
    } else {
        head.push_str("POST /v1/messages:batch HTTP/1.1\r\n");
        for part in &pass.attempts {
            let r = &part.message.request;
            let key = r.key.as_deref().unwrap_or("-");
            body.extend_from_slice(format!("{} {key} {}\r\n", r.request_id, r.body.len()).as_bytes());
            body.extend_from_slice(&r.body);
            body.extend_from_slice(b"\r\n");
        }
    }
    head.push_str(&format!(
        "Host: endpoint\r\nX-Deadline: {patience}m\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ));
    let mut bytes = head.into_bytes();
    bytes.append(&mut body);
    bytes
}

/// The wait that the head of an answer tells.
fn read_wait(answer: &ResponseHead) -> Option<Micros> {
    let wait = answer.fields.get("X-RateLimit-Wait-Ms").and_then(|w| w.parse::<f64>().ok());
    wait.filter(|w| w.is_finite() && *w > 0.0).map(|w| (w.min(1e10) * 1000.0) as Micros)
}

/// The ends that an answer gives.
fn read_answer(
    context: &Context,
    pass: &Call,
    answer: &ResponseHead,
    body: &[u8],
    wait: Option<Micros>,
    reused: bool,
) -> CallResult {
    let report = answer.fields.get("X-Load").and_then(read_load);
    let moot = |ended| AttemptResult { outcome: Outcome::NotSent, ended };
    let alike = match answer.status {
        200 if pass.attempts.len() > 1 => None,
        200 => Some(AttemptResult::of(Outcome::Ok)),
        503 if answer.fields.get("X-Over-Slots").is_some_and(|v| v != "0") => Some(moot(false)),
        // Too many connections at the endpoint: it ends the new one, where a full one lets it stay.
        503 if !reused && !answer.keeps && wait.is_none() => Some(AttemptResult::of(Outcome::ConnectFailed)),
        429 | 503 => Some(AttemptResult::of(Outcome::Rejected(wait))),
        504 => Some(moot(false)),
        410 => Some(moot(true)),
        400 | 413 => {
            warn!(context.log, "call not understood"; "endpoint" => pass.endpoint.0, "status" => answer.status);
            Some(moot(false))
        }
        _ => Some(AttemptResult::of(Outcome::Error)),
    };
    let text = String::from_utf8_lossy(body);
    let end = |word: &str| {
        let mut lines = text.lines().filter_map(|l| l.trim().split_once(' '));
        match lines.find(|l| l.0 == word).map(|l| l.1) {
            Some("delivered") => AttemptResult::of(Outcome::Ok),
            Some("refused") => AttemptResult::of(Outcome::Rejected(wait)),
            Some("over") => moot(true),
            Some("spent") => moot(false),
            // Also where the answer is silent: it may have run.
            _ => AttemptResult::of(Outcome::Error),
        }
    };
    let ends = pass.attempts.iter().map(|p| alike.unwrap_or_else(|| end(&p.message.request.request_id)));
    CallResult { attempts: ends.collect(), report, retry_after: wait }
}

/// A report; one whose share or rate is out of range is left out, so that no decision rests on it.
pub fn read_load(text: &str) -> Option<LoadReport> {
    let value = |name: &str, range: std::ops::RangeInclusive<f64>| {
        let mut pairs = text.split(',').filter_map(|p| p.trim().split_once('='));
        let value = pairs.find(|p| p.0 == name)?.1.parse::<f64>().ok()?;
        range.contains(&value).then_some(value)
    };
    Some(LoadReport { remaining_share: value("x0", 0.0..=1.0)?, rate: value("x1", 0.0..=MOST_CALLS)? })
}
