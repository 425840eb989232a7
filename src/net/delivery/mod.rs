//! The module's actor: it brings events to the decisions and carries out what they say.

use crate::invariants::{may_admit, AdmissionFacts, Rejection, TrackedAttempt, TrackedMessage};
use crate::journal::{JournalError, JournaledMessage, Progress, ReportedEnd};
use crate::membership::MembershipSnapshot;
use crate::net::call::{Attempt, AttemptResult, Call, CallCompletion, CallResult};
use crate::net::endpoint::{self};
use crate::net::handover::{self, frames::HandOverState, FrameSender};
use crate::net::in_flight::{InFlightMessage, Request};
use crate::net::messages::{
    DeliveryMessage, DeliveryReport, EndpointListMessage, EndpointMessage, SubmitReply, Successor,
    DEFAULT_RETRY_AFTER,
};
use crate::net::operator::{self};
use crate::net::Context;
use crate::settings_json::Names;
use crate::{
    AbandonReason, Action, ClassId, DeliveryPolicy, DestinationId, EndpointId, EndpointListUpdate, Event,
    KindId, Lifecycle, MessageId,
};
use crate::{DestinationStatus, Micros, Outcome, Settings, TenantId, ZoneId};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use serde_json::{json, Value};
use slog::{debug, info, warn, FnValue};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::sync::Arc;

/// How a message ended that its client may hand in again.
const RETURNED: &str = "returned";

struct Held {
    transaction: Rc<InFlightMessage>,
    out: Option<Out>,
    reply: Option<Sender<SubmitReply>>,
}

/// An attempt that is out.
struct Out {
    attempt: u32,
    endpoint: EndpointId,
    /// Dropped to call it off.
    call: Sender<()>,
}

/// The actor round the module.
pub struct DeliveryActor {
    context: Rc<Context>,
    names: Arc<Names>,
    policy: DeliveryPolicy,
    notices: Sender<DeliveryReport>,
    members: Sender<EndpointListMessage>,
    /// Endpoints that may be called, with whose they are, and the actors of those that were.
    listed: BTreeMap<EndpointId, DestinationId>,
    peers: BTreeMap<EndpointId, Sender<EndpointMessage>>,
    held: BTreeMap<MessageId, Held>,
    /// The kind of each destination that the list names, and how many endpoints it names for it.
    kinds: BTreeMap<DestinationId, (KindId, usize)>,
    open: usize,
    next: u64,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    events: Vec<Event>,
    last_step: Micros,
    /// The module knows that the journal can be written.
    journal_writable: bool,
    closed: bool,
    /// The process that is to replace this one.
    heir: Option<Successor>,
    /// The attempts that are out at the process that this one has replaced, those of messages that are over too: the
    /// module waits for each.
    older: BTreeMap<(MessageId, u32), EndpointId>,
    /// Messages handed in by each channel since the start, those that were turned away too.
    handed_in: Vec<u64>,
}

impl DeliveryActor {
    /// An actor that holds nothing yet; ids go on after the last one used.
    pub fn new(
        context: Rc<Context>,
        policy: DeliveryPolicy,
        notices: Sender<DeliveryReport>,
        members: Sender<EndpointListMessage>,
        last_id: u64,
    ) -> Self {
        DeliveryActor {
            handed_in: vec![0; context.config().names.tenants.len()],
            names: context.config().names.clone(),
            context,
            policy,
            notices,
            members,
            listed: BTreeMap::new(),
            peers: BTreeMap::new(),
            held: BTreeMap::new(),
            kinds: BTreeMap::new(),
            open: 0,
            next: last_id,
            timers: BinaryHeap::new(),
            events: Vec::new(),
            last_step: 0,
            journal_writable: true,
            closed: false,
            heir: None,
            older: BTreeMap::new(),
        }
    }

    /// What all actors share.
    pub fn context(&self) -> &Rc<Context> {
        &self.context
    }

    /// The list's mailbox.
    pub fn members(&self) -> &Sender<EndpointListMessage> {
        &self.members
    }

    /// Gives back to the module what an earlier process had taken on and not ended.
    pub async fn restore(&mut self, kept: Vec<(u64, JournaledMessage)>) {
        for (id, kept) in kept {
            self.context.counters.restored.add();
            let may_have_run = kept.progress.may_have_run();
            let class = self.names.classes.iter().position(|c| *c == kept.class);
            let id = MessageId(id);
            let unrepeatable = |c: usize| may_have_run && self.context.config().non_idempotent[c];
            // The platform may have had the report of an end: the message must not be sent after it. One
            // that may not run twice fails, as does one of a class that is no more.
            let end = match class {
                _ if kept.progress.report.is_some() => kept.progress.report,
                Some(c) if !unrepeatable(c) => None,
                None if !may_have_run => Some(ReportedEnd::Returned(None)),
                _ => Some(ReportedEnd::Failed),
            };
            if let Some(end) = end {
                self.notify(id, kept.request_id, end).await;
                continue;
            }
            let Progress { attempts, first_attempt: first, .. } = kept.progress.clone();
            let request = self.request(kept, class.unwrap_or_default(), may_have_run);
            let mut transaction = InFlightMessage::new(id, request, attempts);
            transaction.restored = true;
            transaction.first_attempt = first.map(|sent| {
                // A zone that is no more takes no repeat.
                let zone = self.names.zones.iter().position(|z| *z == sent.zone).unwrap_or(usize::MAX);
                (sent.started_at, ZoneId(zone))
            });
            self.hold(transaction, None);
        }
    }

    fn request(&self, kept: JournaledMessage, class: usize, may_have_run: bool) -> Request {
        let tenants = &self.names.tenants;
        Request {
            request_id: kept.request_id,
            key: kept.key,
            class: ClassId(class),
            tenant: kept.tenant.and_then(|t| tenants.iter().position(|n| *n == t)).map(TenantId),
            destination: DestinationId(kept.destination),
            deadline: kept.deadline,
            body: kept.body.into(),
            client_retry: !may_have_run,
            failed_over: may_have_run,
        }
    }

    /// What passes to the process that replaces this one; the module has just made a step.
    pub fn state(&self, list: MembershipSnapshot) -> HandOverState {
        let messages = self.held.iter().map(|(id, held)| handover::frames::HandOverMessage {
            id: *id,
            attempts: held.transaction.attempts(),
            received_at: held.transaction.received_at,
            in_flight: held.out.as_ref().map(|o| (o.attempt, o.endpoint)),
        });
        // What is over and out at a process before this one has no record here any more.
        let over = self.older.iter().filter(|o| !self.held.contains_key(&o.0 .0));
        let over = over.map(|((id, attempt), endpoint)| {
            let out = Some((*attempt, *endpoint));
            handover::frames::HandOverMessage {
                id: *id,
                attempts: attempt + 1,
                received_at: None,
                in_flight: out,
            }
        });
        HandOverState {
            policy: serde_json::to_value(&self.policy).unwrap_or_default(),
            last_id: self.next,
            messages: messages.chain(over).collect(),
            timers: self.timers.iter().map(|t| t.0).collect(),
            received_by_tenant: self.handed_in.clone(),
            client_connections: self.context.client_connections.get(),
            list,
        }
    }

    /// Goes on from where the process stopped that this one replaces. What its module held is in the journal, and what
    /// the journal alone holds is owed a notice.
    /// The list that passes with it is for the membership's actor.
    pub async fn resume_from(
        &mut self,
        state: HandOverState,
        kept: Vec<(u64, JournaledMessage)>,
        older: &FrameSender,
        settings: Settings,
    ) -> MembershipSnapshot {
        self.next = self.next.max(state.last_id);
        self.timers = state.timers.iter().map(|t| Reverse(*t)).collect();
        if state.received_by_tenant.len() == self.handed_in.len() {
            self.handed_in = state.received_by_tenant;
        }
        let mut kept: BTreeMap<u64, JournaledMessage> = kept.into_iter().collect();
        for message in &state.messages {
            let id = message.id;
            self.older.extend(message.in_flight.map(|(attempt, endpoint)| ((id, attempt), endpoint)));
            let class = |k: &JournaledMessage| self.names.classes.iter().position(|c| *c == k.class);
            let live = kept.remove(&id.0).filter(|k| k.progress.report.is_none());
            let Some((kept, class)) = live.and_then(|k| class(&k).map(|c| (k, c))) else {
                // Over; only its attempt is still out, and the module knows.
                continue;
            };
            let request = self.request(kept, class, false);
            let mut transaction = InFlightMessage::new(id, request, message.attempts);
            transaction.received_at = message.received_at;
            let out = message.in_flight.map(|(attempt, endpoint)| {
                let call = older.call_off(&self.context, id, attempt);
                Out { attempt, endpoint, call }
            });
            self.enter(transaction, out, None);
            self.context.counters.inherited.add();
        }
        self.restore(kept.into_iter().collect()).await;
        self.events.insert(0, Event::Settings(Box::new(settings)));
        state.list
    }

    /// What was out at the process that this one has replaced, which is gone: it may have run. That process ended, not
    /// the endpoint, so no breaker may count it.
    pub fn lost_with_older(&mut self) -> Vec<CallCompletion> {
        let sent = self.context.clock.now();
        let came = |(part, endpoint)| {
            let ended = CallResult::same_for_all(1, AttemptResult::of(Outcome::StaleConnection));
            CallCompletion { endpoint, sent, attempts: vec![part], result: ended }
        };
        std::mem::take(&mut self.older).into_iter().map(came).collect()
    }

    /// Another process decides from here on; only the calls that are out are still this one's.
    pub fn step_down(&mut self) {
        self.closed = true;
        self.context.open_messages.set(0);
        self.context.reports_pending.set(0);
        for peer in self.peers.values() {
            let _ = peer.try_send(EndpointMessage::CloseIdle);
        }
    }

    /// Calls an attempt off, if it is out.
    pub fn call_off(&self, id: MessageId, attempt: u32) {
        let out = self.held.get(&id).and_then(|h| h.out.as_ref());
        out.filter(|o| o.attempt == attempt).map(|o| o.call.close());
    }

    fn hold(&mut self, mut transaction: InFlightMessage, reply: Option<Sender<SubmitReply>>) {
        let (to, class) = (transaction.request.destination, transaction.request.class);
        transaction.stats = self.context.routes.of(to, self.kinds.get(&to).map(|k| k.0), class);
        transaction.stats.iter().for_each(|s| s.take());
        let message = transaction.message(self.context.clock.now());
        self.enter(transaction, None, reply);
        self.events.push(Event::Message(message));
    }

    fn enter(&mut self, transaction: InFlightMessage, out: Option<Out>, reply: Option<Sender<SubmitReply>>) {
        self.context.keep_request_id(&transaction.request.request_id);
        let first_attempt = transaction.first_attempt;
        let tracked = TrackedMessage {
            repeats: self.context.config().repeat_policies[transaction.request.class.0],
            attempts: transaction.attempts(),
            first_attempt: first_attempt
                .map(|(started_at, zone)| TrackedAttempt { started_at, zone: Some(zone) }),
            in_flight: out.as_ref().map(|o| o.attempt),
        };
        self.context.ledger.borrow_mut().track(transaction.id, tracked);
        let held = Held { transaction: Rc::new(transaction), out, reply };
        self.held.insert(held.transaction.id, held);
        self.open += 1;
        self.context.open_messages.set(self.open);
    }

    /// Serves until all who could tell it something are gone.
    pub async fn run(mut self, mail: Receiver<DeliveryMessage>) {
        let clock = self.context.clock;
        loop {
            if self.events.is_empty() {
                // Once closed, nothing takes timers away: one that is due would keep this loop from ever resting.
                let timer = self.timers.peek().map(|t| t.0 .0).filter(|_| !self.closed);
                let due = async {
                    match timer {
                        Some(at) => Timer::at(clock.at(at)).await,
                        None => future::pending().await,
                    };
                    None
                };
                match future::or(async { Some(mail.recv().await) }, due).await {
                    Some(Ok(news)) => self.take(news).await,
                    Some(Err(_)) => return,
                    None => {}
                }
            }
            let ready = self.last_step + self.context.config().min_step_interval;
            if clock.now() < ready {
                Timer::at(clock.at(ready)).await;
            }
            while let Ok(news) = mail.try_recv() {
                self.take(news).await;
            }
            if self.closed {
                self.events.clear();
            } else {
                self.step().await;
                if let Some(heir) = self.heir.take() {
                    handover::hand_over(&mut self, heir, &mail).await;
                }
            }
        }
    }

    async fn take(&mut self, news: DeliveryMessage) {
        match news {
            DeliveryMessage::Submit { request, reply } => self.take_on(request, reply),
            DeliveryMessage::Withdrawn { id } => self.withdraw(id),
            DeliveryMessage::EndpointList(news) => self.take_list(news),
            DeliveryMessage::Settings(settings) => self.events.push(Event::Settings(settings)),
            DeliveryMessage::CallCompleted(came) => self.take_call_ended(came),
            DeliveryMessage::HandOver(heir) => self.heir = Some(heir),
            DeliveryMessage::Admin { command: operation, reply } => {
                // It was meant for the process that did not take over after all.
                let (context, members) = (self.context.clone(), self.members.clone());
                let operating = async move {
                    let _ = reply.try_send(operator::perform(&context, &members, operation).await);
                };
                self.context.executor.spawn(operating).detach();
            }
            DeliveryMessage::PredecessorGone => {
                self.lost_with_older().into_iter().for_each(|came| self.take_call_ended(came))
            }
            // The next step sees it.
            DeliveryMessage::JournalWritable => {}
            DeliveryMessage::DescribeStatus { reply } => {
                let _ = reply.try_send(self.show());
            }
            DeliveryMessage::Stop => self.close(),
        }
    }

    /// What operators are shown: each destination with its breaker, and what each channel has handed in.
    fn show(&self) -> Value {
        let ms = |us: f64| us / 1e3;
        let one = |s: DestinationStatus| {
            json!({"destination": s.destination.0, "breaker": s.breaker.name(), "held": s.waiting, "out": s.in_flight,
                "wait_ms": ms(s.retry_after as f64), "cold": s.warming_up, "answer_ms": s.latency.map(ms),
                "limit_per_s": s.limit.map(|l| l.rate), "limit_left": s.limit.map(|l| l.remaining_share)})
        };
        let partners: Vec<Value> = self.policy.shown(self.context.clock.now()).map(one).collect();
        let channels = self.names.tenants.iter().zip(&self.handed_in);
        let channels: Vec<Value> = channels.map(|(name, n)| json!({"name": name, "handed_in": n})).collect();
        json!({"partners": partners, "channels": channels})
    }

    /// No step follows that would answer those just taken on. They are in the journal, so they are owed; and
    /// without their answer the user agent's connection would end on a request that was read.
    fn close(&mut self) {
        self.closed = true;
        for (id, held) in &mut self.held {
            if let Some(reply) = held.reply.take() {
                self.context.counters.taken.add();
                let _ = reply.try_send(SubmitReply::Accepted(*id));
            }
        }
    }

    fn take_on(&mut self, request: Request, reply: Sender<SubmitReply>) {
        if let Some(n) = request.tenant.and_then(|t| self.handed_in.get_mut(t.0)) {
            *n += 1;
        }
        // A captured day is made of these lines.
        debug!(self.context.log, "handed in"; "id" => &request.request_id, "destination" => request.destination.0,
            "channel" => request.tenant.and_then(|t| self.names.tenants.get(t.0)),
            "wall_ms" => FnValue(|_| crate::net::runtime::clock::wall() as f64 / 1e3));
        let facts = AdmissionFacts {
            draining: self.closed,
            id_in_use: self.context.request_id_in_use(&request.request_id),
            open_messages: self.open,
            max_open_messages: self.context.config().max_open_messages,
            journal_writable: self.context.journal.is_writable(),
        };
        if let Err(why) = may_admit(&facts) {
            return self.reject(&request.request_id, why, &reply);
        }
        let name = |all: &[String], at: usize| all.get(at).cloned().unwrap_or_default();
        let message = JournaledMessage {
            request_id: request.request_id.clone(),
            key: request.key.clone(),
            class: name(&self.names.classes, request.class.0),
            tenant: request.tenant.map(|t| name(&self.names.tenants, t.0)),
            destination: request.destination.0,
            deadline: request.deadline,
            body: request.body.to_vec(),
            progress: Progress { earlier_attempt_may_have_run: request.failed_over, ..Progress::default() },
        };
        self.next += 1;
        match self.context.journal.record_received(MessageId(self.next), &message) {
            Ok(()) => {}
            Err(JournalError::Full) => {
                return self.reject(&request.request_id, Rejection::JournalFull, &reply)
            }
            Err(_) => return self.reject(&request.request_id, Rejection::JournalFailing, &reply),
        }
        let mut transaction = InFlightMessage::new(MessageId(self.next), request, 0);
        transaction.received_at = Some(self.context.clock.now());
        self.hold(transaction, Some(reply));
    }

    /// Does not take a message on, and says why.
    fn reject(&self, request_id: &str, why: Rejection, reply: &Sender<SubmitReply>) {
        self.context.rejected(request_id, why);
        let answer = match why {
            Rejection::IdInUse => SubmitReply::DuplicateId,
            _ => {
                self.context.counters.unavailable.add();
                SubmitReply::Unavailable(DEFAULT_RETRY_AFTER)
            }
        };
        let _ = reply.try_send(answer);
    }

    fn withdraw(&mut self, id: MessageId) {
        if self.finish(id, "withdrawn") {
            self.context.journal.record_completed(id);
            self.context.counters.withdrawn.add();
            self.events.push(Event::Withdrawn { id });
            self.forget(id);
        }
    }

    /// Marks the end of a message, and how it came; false if it had ended.
    fn finish(&mut self, id: MessageId, how: &'static str) -> bool {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.transaction.is_over()) else { return false };
        held.transaction.finish();
        held.transaction.stats.iter().for_each(|s| s.end(how));
        self.open -= 1;
        self.context.open_messages.set(self.open);
        let word = &held.transaction.request.request_id;
        info!(self.context.log, "message"; "state" => how, "id" => word, "attempts" => held.transaction.attempts());
        let violation = self.context.ledger.borrow_mut().completed(id, how == RETURNED);
        violation.into_iter().for_each(|v| self.context.violated(v, word, None));
        true
    }

    /// Forgets a message that is over once none of its attempts is out.
    fn forget(&mut self, id: MessageId) {
        if self.held.get(&id).is_some_and(|h| h.transaction.is_over() && h.out.is_none()) {
            self.context.ledger.borrow_mut().forget(id);
            if let Some(held) = self.held.remove(&id) {
                self.context.release_request_id(&held.transaction.request.request_id);
            }
        }
    }

    fn take_list(&mut self, news: EndpointListUpdate) {
        match &news {
            EndpointListUpdate::Patch(entries)
            | EndpointListUpdate::Complete(entries)
            | EndpointListUpdate::Cached(entries) => {
                if !matches!(news, EndpointListUpdate::Patch(_)) {
                    let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
                    let gone: Vec<_> = self.listed.keys().copied().filter(|e| !named.contains(e)).collect();
                    gone.into_iter().for_each(|e| self.unlist(e));
                }
                for entry in entries {
                    // It may have another owner than before.
                    if self.listed.get(&entry.endpoint).is_some_and(|d| *d != entry.destination)
                        || entry.lifecycle == Lifecycle::Removed
                    {
                        self.unlist(entry.endpoint);
                    }
                    if entry.lifecycle != Lifecycle::Removed {
                        let new = self.listed.insert(entry.endpoint, entry.destination).is_none();
                        let kind = self.kinds.entry(entry.destination).or_insert((entry.kind, 0));
                        *kind = (entry.kind, kind.1 + usize::from(new));
                    }
                }
            }
            EndpointListUpdate::WatchFailed => {}
        }
        self.events.push(Event::EndpointList(news));
    }

    /// Lets go of an endpoint, and of the kind of a destination that has none left.
    fn unlist(&mut self, endpoint: EndpointId) {
        self.peers.remove(&endpoint);
        let Some(destination) = self.listed.remove(&endpoint) else { return };
        if let Some(kind) = self.kinds.get_mut(&destination) {
            kind.1 -= 1;
            if kind.1 == 0 {
                self.kinds.remove(&destination);
            }
        }
    }

    fn take_call_ended(&mut self, came: CallCompletion) {
        let CallCompletion { endpoint, sent, attempts: parts, result: ended } = came;
        let elapsed = self.context.clock.now().saturating_sub(sent);
        let told = ended.attempts.iter().any(|e| matches!(e.outcome, Outcome::Rejected(Some(_))));
        for ((id, attempt), end) in parts.into_iter().zip(&ended.attempts) {
            self.context.counters.outcome(end.outcome);
            self.older.remove(&(id, attempt));
            self.context.ledger.borrow_mut().attempt_ended(id, attempt, end.outcome);
            let transaction = self.held.get_mut(&id).map(|held| {
                held.out = held.out.take().filter(|o| o.attempt != attempt);
                held.transaction.clone()
            });
            if let Some(transaction) = &transaction {
                info!(self.context.log, "message"; "state" => "attempt-ended", "id" => &transaction.request.request_id,
                    "attempt" => attempt, "endpoint" => endpoint.0, "outcome" => ?end.outcome, "ms" => elapsed / 1000);
            }
            let stats = transaction.as_ref().and_then(|t| t.stats.as_ref());
            stats.iter().for_each(|s| s.outcome(end.outcome));
            if end.ended {
                let delivered = end.outcome == Outcome::Ok;
                if self.finish(id, if delivered { "delivered" } else { "over" }) && delivered {
                    self.context.counters.delivered.add();
                    let since = transaction.as_ref().and_then(|t| t.received_at);
                    if let Some((since, stats)) = since.zip(stats) {
                        self.context.routes.delivered(stats, self.context.clock.now().saturating_sub(since));
                    }
                }
                self.context.journal.record_completed(id);
            } else if matches!(
                end.outcome,
                Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotJournaled
            ) {
                self.context.journal.record_never_ran(id, attempt);
            }
            self.forget(id);
            let (outcome, ended, report) = (end.outcome, end.ended, ended.report);
            self.events.push(Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, ended, report });
        }
        // An answer may tell a wait and yet refuse nothing.
        if let Some(wait) = ended.retry_after.filter(|_| !told) {
            self.events.push(Event::RetryAfter { endpoint, retry_after: wait });
        }
    }

    async fn step(&mut self) {
        let now = self.context.clock.now();
        self.last_step = now;
        while let Some(Reverse((_, token))) = self.timers.peek().copied().filter(|t| t.0 .0 <= now) {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        let writable = self.context.journal.is_writable();
        if writable != self.journal_writable {
            self.journal_writable = writable;
            self.events.push(Event::JournalStatus { writable });
        }
        if self.events.is_empty() {
            return;
        }
        // Nobody waits for these any more: they are withdrawn before anything is sent for them.
        let gone = |e: &Event| match e {
            Event::Message(m) => self.held.get(&m.id)?.reply.as_ref()?.is_closed().then_some(m.id),
            _ => None,
        };
        let gone: Vec<MessageId> = self.events.iter().filter_map(gone).collect();
        gone.into_iter().for_each(|id| self.withdraw(id));
        let mut events = std::mem::take(&mut self.events);
        // A message's time runs from its last byte, not from this step.
        for event in &mut events {
            if let Event::Message(m) = event {
                let held = self.held.get(&m.id);
                m.time_left = held.map_or(0, |h| h.transaction.request.deadline.saturating_sub(now));
            }
        }
        let mut actions = Vec::new();
        self.policy.step(now, &events, &mut actions);
        for event in &events {
            let Event::EndpointList(
                EndpointListUpdate::Patch(entries) | EndpointListUpdate::Complete(entries),
            ) = event
            else {
                continue;
            };
            let leave = entries.iter().filter(|e| e.lifecycle != Lifecycle::Listed);
            leave.for_each(|e| self.context.endpoint_table.drain_observed(e.endpoint, now));
        }
        let mut passes: Vec<((u64, EndpointId), Vec<Attempt>)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, call, timeout_at: cut_at, send_by, final_attempt: last } => {
                    self.gather(&mut passes, (call, endpoint), id, (cut_at, send_by, last));
                }
                Action::Reject { id, retry_after, reason } => {
                    self.give_up(id, Some(retry_after), reason).await;
                }
                Action::Fail { id, reason } => self.give_up(id, None, reason).await,
                Action::Cancel { id, attempt } => self.call_off(id, attempt),
                Action::Timer { delay, token } => self.timers.push(Reverse((now + delay, token))),
                Action::CloseIdle { endpoint } => {
                    self.pass_on(now, std::mem::take(&mut passes));
                    self.peers.get(&endpoint).map(|p| p.try_send(EndpointMessage::CloseIdle));
                }
                Action::Subscribe => drop(self.members.try_send(EndpointListMessage::Resubscribe)),
                Action::HealthCheck { endpoint } => {
                    warn!(self.context.log, "no probes on this platform"; "endpoint" => endpoint.0)
                }
                Action::Log(line) => info!(self.context.log, "decision"; "text" => line),
            }
        }
        self.pass_on(now, passes);
        for event in &events {
            let Event::Message(m) = event else { continue };
            if let Some(reply) = self.held.get_mut(&m.id).and_then(|h| h.reply.take()) {
                if reply.try_send(SubmitReply::Accepted(m.id)).is_ok() {
                    self.context.counters.taken.add();
                    let word = self.held.get(&m.id).map(|h| h.transaction.request.request_id.as_str());
                    info!(self.context.log, "message"; "state" => "taken-on", "id" => word,
                        "class" => m.class.0, "destination" => m.destination.0, "left_ms" => m.time_left / 1000);
                } else {
                    self.withdraw(m.id);
                }
            }
        }
    }

    /// Messages share a call as the module decided. Guards against two calls of one step to one endpoint that
    /// become one: it would be cut for all when the shorter time-out is over.
    fn gather(
        &self,
        passes: &mut Vec<((u64, EndpointId), Vec<Attempt>)>,
        to: (u64, EndpointId),
        id: MessageId,
        (cut_at, send_by, last): (Micros, Micros, bool),
    ) {
        let Some(held) = self.held.get(&id) else { return };
        let attempt = held.transaction.next_attempt();
        let part = Attempt {
            message: held.transaction.clone(),
            number: attempt,
            timeout_at: cut_at,
            send_by,
            final_attempt: last,
        };
        match passes.last_mut().filter(|p| p.0 == to) {
            Some(pass) => pass.1.push(part),
            None => passes.push((to, vec![part])),
        }
    }

    fn pass_on(&mut self, now: Micros, passes: Vec<((u64, EndpointId), Vec<Attempt>)>) {
        for ((_, endpoint), parts) in passes {
            let (call, called_off) = async_channel::bounded(1);
            for part in &parts {
                if let Some(held) = self.held.get_mut(&part.message.id) {
                    let (attempt, call) = (part.number, call.clone());
                    held.out = Some(Out { attempt, endpoint, call });
                }
            }
            let pass = Call::new(endpoint, parts, now, called_off);
            let Some(peer) = self.peer(endpoint) else {
                warn!(self.context.log, "no such peer"; "endpoint" => endpoint.0);
                self.not_sent(pass);
                continue;
            };
            if let Err(e) = peer.try_send(EndpointMessage::Call(pass)) {
                warn!(self.context.log, "mailbox"; "endpoint" => endpoint.0, "error" => %e);
                if let EndpointMessage::Call(pass) = e.into_inner() {
                    self.not_sent(pass);
                }
            }
        }
    }

    /// The actor of an endpoint; made at its first call, as most of a large list never get one.
    fn peer(&mut self, endpoint: EndpointId) -> Option<&Sender<EndpointMessage>> {
        if !self.listed.contains_key(&endpoint) {
            return None;
        }
        let context = &self.context;
        Some(self.peers.entry(endpoint).or_insert_with(|| {
            // All calls at once, all of their connections coming back, and a few words more.
            let room = 2 * context.config().max_concurrent_calls + 16;
            let (send, mail) = async_channel::bounded(room);
            let actor = endpoint::run(context.clone(), endpoint, mail, send.downgrade());
            context.executor.spawn(actor).detach();
            send
        }))
    }

    /// A call that could not even be handed to its peer comes back by the mailbox, as any other.
    fn not_sent(&self, pass: Call) {
        let ended = CallResult::same_for_all(
            pass.attempts.len(),
            crate::net::call::AttemptResult::of(Outcome::NotSent),
        );
        let back = self.context.delivery.clone();
        let telling = async move {
            let _ = back.send(DeliveryMessage::CallCompleted(pass.completed(ended))).await;
        };
        self.context.executor.spawn(telling).detach();
    }

    /// The module's end of a message: as the answer if that is still to be written, or else by notice.
    async fn give_up(&mut self, id: MessageId, refused: Option<Option<Micros>>, reason: AbandonReason) {
        if !self.finish(id, if refused.is_some() { RETURNED } else { "failed" }) {
            return;
        }
        self.context.counters.given_up(reason);
        let Some(held) = self.held.get_mut(&id) else { return };
        let word = held.transaction.request.request_id.clone();
        info!(self.context.log, "message"; "state" => "given-up", "id" => &word, "reason" => reason.name());
        if let Some(reply) = held.reply.take() {
            self.context.journal.record_completed(id);
            let answer = match refused {
                Some(after) => SubmitReply::Unavailable(after.unwrap_or(DEFAULT_RETRY_AFTER)),
                None => SubmitReply::Failed,
            };
            match refused {
                Some(_) => self.context.counters.unavailable.add(),
                None => self.context.counters.failed.add(),
            }
            let _ = reply.try_send(answer);
        } else {
            let after = |r: Option<Micros>| ReportedEnd::Returned(r.map(|t| t.div_ceil(1000)));
            self.notify(id, word, refused.map_or(ReportedEnd::Failed, after)).await;
        }
        self.forget(id);
    }

    async fn notify(&mut self, id: MessageId, word: String, end: ReportedEnd) {
        self.context.journal.record_end(id, end);
        match end {
            ReportedEnd::Failed => self.context.counters.failed.add(),
            ReportedEnd::Returned(_) => self.context.counters.returned.add(),
        }
        self.context.reports_pending.set(self.context.reports_pending.get() + 1);
        self.context.keep_request_id(&word);
        let _ = self.notices.send(DeliveryReport { id, request_id: word, end }).await;
    }
}
