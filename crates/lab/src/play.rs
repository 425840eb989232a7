//! Plays a day: forwarders, each with a decision module of its own, against the partners, in virtual time.
//!
//! It stands in for what the network code does round the module: steps no closer than the settings' granularity,
//! calls of several messages with one fate, cuts, timers, clients that come again after a refusal.

use crate::audit::Audit;
use crate::figures::Figures;
use crate::world::{World, START};
use cedarbridge::routes::{Plan, Timing};
use cedarbridge::{
    Action, ClassId, Courier, DestinationId, EndpointId, Entry, Event, KindId, Lifecycle, LimitReport,
    ListNews, MessageId, Micros, NewMessage, Outcome, TenantId,
};
use cedarbridge_partners::{Answer, Partner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

const CLASS: ClassId = ClassId(0);
/// How long the list takes to tell a change.
const LIST_DELAY: Micros = 1_000_000;
/// A connection that is not made by then never comes.
const DIAL: Micros = 1_500_000;

enum What {
    Hand { first: usize, again: Option<usize> },
    Step(usize),
    Timer(usize),
    Arrives(usize),
    Back { call: usize, part: Option<usize>, outcome: Outcome, report: Option<LimitReport> },
    Trouble(usize, bool),
    List { forwarder: usize, endpoint: usize, drains: bool },
}

struct Part {
    message: usize,
    attempt: u32,
    cut_at: Micros,
    last: bool,
    waited_for: bool,
}

struct Call {
    forwarder: usize,
    endpoint: usize,
    sent: Micros,
    parts: Vec<Part>,
}

/// A message as the emulator knows it: one a hand-in.
struct Message {
    /// The client's first try, to which its worth and its later ones belong.
    first: usize,
    attempts: u32,
    call: Option<usize>,
    over: bool,
    retried: bool,
}

struct Forwarder {
    courier: Courier,
    events: Vec<Event>,
    last_step: Micros,
    due: Option<Micros>,
}

/// A day under way.
struct Day<'a> {
    world: &'a World,
    plan: Option<Arc<Plan>>,
    partners: Vec<Partner>,
    forwarders: Vec<Forwarder>,
    messages: Vec<Message>,
    calls: Vec<Call>,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    queue: Vec<Option<What>>,
    free: Vec<usize>,
    order: u64,
    rng: ChaCha8Rng,
    audit: Audit,
    figures: Figures,
    now: Micros,
    /// Messages without their final answer.
    open: usize,
}

/// Plays a day with a plan, or without one; the seed is that of the network and the modules.
pub fn play(world: &World, plan: Option<Arc<Plan>>, seed: u64) -> (Figures, Vec<String>) {
    let mut settings = world.settings.clone();
    settings.routes = plan.clone();
    let forwarders = (0..settings.couriers as u64)
        .map(|n| Forwarder {
            courier: Courier::new(settings.clone(), seed ^ (n + 1) << 32).expect("settings that make sense"),
            events: Vec::new(),
            last_step: 0,
            due: None,
        })
        .collect();
    let partners = world.partners.iter().zip(0u64..);
    let mut day = Day {
        audit: Audit::new(&settings, settings.couriers, world.partners.len(), world.list.len()),
        figures: Figures::new(world),
        partners: partners.map(|(m, n)| Partner::new(m.clone(), seed ^ n << 16)).collect(),
        world,
        plan,
        forwarders,
        messages: Vec::with_capacity(world.hands.len() * 2),
        calls: Vec::new(),
        heap: BinaryHeap::new(),
        queue: Vec::new(),
        free: Vec::new(),
        order: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: START,
        open: 0,
    };
    day.begin();
    day.run();
    let fallen: Vec<_> =
        day.partners.iter().enumerate().filter_map(|(i, p)| Some((i, p.fallen()?))).collect();
    day.audit.close(day.now, fallen.into_iter());
    (day.figures, day.audit.broken)
}

impl Day<'_> {
    /// Ties in time go by the order in which events were made.
    fn at(&mut self, time: Micros, what: What) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.queue.push(None);
            self.queue.len() - 1
        });
        self.queue[slot] = Some(what);
        self.order += 1;
        // The order above, the slot below: both fit, as no day has 2^40 events at once.
        self.heap.push(Reverse((time, self.order << 24 | slot as u64)));
    }

    fn begin(&mut self) {
        let all: Vec<Entry> = self.world.list.iter().map(|e| e.0.clone()).collect();
        for f in 0..self.forwarders.len() {
            self.tell(f, Event::List(ListNews::Whole(all.clone())));
        }
        for (n, (_, from, to, _)) in self.world.troubles.iter().copied().enumerate() {
            self.at(from, What::Trouble(n, true));
            self.at(to, What::Trouble(n, false));
        }
        if let Some((endpoint, from, to)) = self.world.drain {
            for forwarder in 0..self.forwarders.len() {
                for (at, drains) in [(from, true), (to, false)] {
                    let later = self.rng.random_range(0..LIST_DELAY);
                    self.at(at + LIST_DELAY + later, What::List { forwarder, endpoint, drains });
                }
            }
        }
        if let Some(first) = self.world.hands.first() {
            self.at(first.at, What::Hand { first: 0, again: None });
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((time, key))) = self.heap.pop() {
            let slot = (key & 0xff_ffff) as usize;
            let Some(what) = self.queue[slot].take() else { continue };
            self.free.push(slot);
            // What is left after the last end changes nothing.
            if time > self.world.end && self.open == 0 && !matches!(what, What::Hand { .. }) {
                break;
            }
            self.now = time;
            match what {
                What::Hand { first, again } => self.hand_in(first, again),
                What::Step(f) => self.step(f),
                What::Timer(f) => self.wake(f, time),
                What::Arrives(call) => self.arrives(call),
                What::Back { call, part, outcome, report } => self.back(call, part, outcome, report),
                What::Trouble(n, begins) => {
                    let (partner, _, _, trouble) = self.world.troubles[n];
                    self.partners[partner].set_trouble(time, begins.then_some(trouble));
                }
                What::List { forwarder, endpoint, drains } => {
                    self.audit.lists(time, forwarder, endpoint, drains);
                    let lifecycle = if drains { Lifecycle::Draining } else { Lifecycle::Listed };
                    let entry = Entry { lifecycle, ..self.world.list[endpoint].0.clone() };
                    self.tell(forwarder, Event::List(ListNews::Patch(vec![entry])));
                }
            }
        }
    }

    fn tell(&mut self, forwarder: usize, event: Event) {
        self.forwarders[forwarder].events.push(event);
        self.wake(forwarder, self.now);
    }

    /// A step no later than that, but not sooner after the last one than the settings say.
    fn wake(&mut self, forwarder: usize, at: Micros) {
        let f = &mut self.forwarders[forwarder];
        let at = at.max(f.last_step + self.world.settings.granularity);
        if f.due.is_none_or(|due| at < due) {
            f.due = Some(at);
            self.at(at, What::Step(forwarder));
        }
    }

    fn timing(&self, message: usize) -> Timing {
        let partner = self.world.hands[self.messages[message].first].partner;
        let (to, kind) = (DestinationId(partner as u64), KindId(self.world.kinds[partner]));
        self.plan.as_ref().map_or(Timing::default(), |p| p.timing(to, Some(kind), CLASS))
    }

    fn hand_in(&mut self, first: usize, again: Option<usize>) {
        let hand = self.world.hands[first];
        let forwarder = match again {
            // A client that comes again may come to any forwarder.
            Some(_) => self.rng.random_range(0..self.forwarders.len()),
            None => {
                if let Some(next) = self.world.hands.get(first + 1) {
                    self.at(next.at, What::Hand { first: first + 1, again: None });
                }
                hand.forwarder
            }
        };
        let deadline = hand.at + self.world.settings.classes[0].deadline;
        if self.now >= deadline {
            return;
        }
        let id = self.messages.len();
        let message = Message { first, attempts: 0, call: None, over: false, retried: again.is_some() };
        self.messages.push(message);
        self.open += 1;
        self.audit.taken(self.now, hand.at, deadline - self.now);
        self.tell(
            forwarder,
            Event::Message(NewMessage {
                id: MessageId(id as u64),
                class: CLASS,
                tenant: Some(TenantId(hand.tenant)),
                key: None,
                time_left: deadline - self.now,
                destination: DestinationId(hand.partner as u64),
                orphan: false,
                again: again.is_some(),
                attempts: 0,
            }),
        );
    }

    fn step(&mut self, forwarder: usize) {
        let now = self.now;
        let f = &mut self.forwarders[forwarder];
        // One that was set for an earlier time has made this one idle.
        if f.due != Some(now) {
            return;
        }
        f.due = None;
        f.last_step = now;
        let mut events = std::mem::take(&mut f.events);
        for event in &mut events {
            // A message's time runs on until the step that takes it.
            if let Event::Message(m) = event {
                let first = self.messages[m.id.0 as usize].first;
                let deadline = self.world.hands[first].at + self.world.settings.classes[0].deadline;
                m.time_left = deadline.saturating_sub(now);
            }
        }
        let mut actions = Vec::new();
        f.courier.step(now, &events, &mut actions);
        let mut open: Option<(u64, usize)> = None;
        for action in actions {
            match action {
                Action::Send { id, endpoint, call, cut_at, last } => {
                    let number = match open.filter(|o| o.0 == call) {
                        Some((_, number)) => number,
                        None => self.begin_call(forwarder, endpoint),
                    };
                    open = Some((call, number));
                    self.add_part(number, id.0 as usize, cut_at, last);
                }
                Action::Refuse { id, retry_after } => self.end(forwarder, id.0 as usize, Some(retry_after)),
                Action::Fail { id } => self.end(forwarder, id.0 as usize, None),
                Action::Cancel { id, attempt } => self.cancel(id.0 as usize, attempt),
                Action::Timer { delay, .. } => self.at(now + delay, What::Timer(forwarder)),
                Action::Probe { .. } | Action::CloseIdle { .. } | Action::Watch | Action::Log(_) => {}
            }
        }
    }

    fn begin_call(&mut self, forwarder: usize, endpoint: EndpointId) -> usize {
        let call = Call { forwarder, endpoint: endpoint.0 as usize - 1, sent: self.now, parts: Vec::new() };
        self.calls.push(call);
        let number = self.calls.len() - 1;
        let there = self.now + self.network();
        self.at(there, What::Arrives(number));
        number
    }

    fn network(&mut self) -> Micros {
        self.rng.random_range(self.world.network.0..=self.world.network.1)
    }

    fn add_part(&mut self, number: usize, message: usize, cut_at: Micros, last: bool) {
        let call = &mut self.calls[number];
        let (forwarder, endpoint) = (call.forwarder, call.endpoint);
        let m = &mut self.messages[message];
        call.parts.push(Part { message, attempt: m.attempts, cut_at, last, waited_for: true });
        m.attempts += 1;
        m.call = Some(number);
        let timing = self.timing(message);
        let partner = self.world.list[endpoint].1;
        self.audit.sent(self.now, forwarder, (partner, endpoint), message, &timing);
        self.figures.attempt();
    }

    /// The call's last byte has come: its fate is settled, and with it what comes back first, answer or cut.
    fn arrives(&mut self, number: usize) {
        let call = &self.calls[number];
        let (_, partner, place) = self.world.list[call.endpoint];
        let (sent, parts) = (call.sent, call.parts.len());
        if call.parts.iter().all(|p| !p.waited_for) {
            return;
        }
        let fate = self.partners[partner].call(self.now, place, parts);
        let back = self.network();
        let report = fate.report.map(|(left, rate)| LimitReport { left, rate });
        let answer = match fate.answer {
            Some((_, Answer::Refused)) => Some((self.now + back, Outcome::ConnectFailed)),
            Some((at, Answer::Ok)) => Some((at + back, Outcome::Ok)),
            Some((at, Answer::Broken)) => Some((at + back, Outcome::Reset)),
            Some((at, Answer::Error)) => Some((at + back, Outcome::Error)),
            Some((at, Answer::Full(wait))) => Some((at + back, Outcome::Full(wait))),
            None if fate.unconnected => Some((sent + DIAL, Outcome::ConnectFailed)),
            None => None,
        };
        // As on sockets: one whose own time is up is given up alone, or else the first cut ends the call.
        let call = &self.calls[number];
        let firm = call.parts.iter().filter(|p| !p.last).map(|p| p.cut_at).min();
        let cut = firm.unwrap_or_else(|| call.parts.iter().map(|p| p.cut_at).max().expect("a part"));
        let end = answer.map_or(cut, |a| a.0.min(cut));
        let alone: Vec<(usize, Micros)> = call.parts.iter().enumerate().map(|(n, p)| (n, p.cut_at)).collect();
        for (part, at) in alone.into_iter().filter(|p| p.1 < end) {
            self.at(
                at,
                What::Back { call: number, part: Some(part), outcome: Outcome::TimedOut, report: None },
            );
        }
        let (outcome, report) = match answer {
            Some((at, outcome)) if at < cut => {
                (outcome, report.filter(|_| outcome != Outcome::ConnectFailed))
            }
            // Nothing was connected by then, so nothing can have run.
            _ if fate.unconnected => (Outcome::ConnectFailed, None),
            _ => (Outcome::TimedOut, None),
        };
        self.at(end.max(self.now), What::Back { call: number, part: None, outcome, report });
    }

    fn back(&mut self, number: usize, part: Option<usize>, outcome: Outcome, report: Option<LimitReport>) {
        let call = &mut self.calls[number];
        let (forwarder, endpoint, sent) = (call.forwarder, call.endpoint, call.sent);
        let partner = self.world.list[endpoint].1;
        let due: Vec<(usize, u32)> = call
            .parts
            .iter_mut()
            .enumerate()
            .filter(|(n, p)| p.waited_for && part.is_none_or(|only| only == *n))
            .map(|(_, p)| {
                p.waited_for = false;
                (p.message, p.attempt)
            })
            .collect();
        if call.parts.iter().all(|p| !p.waited_for) && !due.is_empty() {
            self.figures.slot(self.now, partner, self.now - sent);
        }
        for (message, attempt) in due {
            self.audit.back(self.now, (forwarder, partner), message, sent, outcome);
            self.messages[message].call = None;
            let ended = outcome == Outcome::Ok;
            if ended && !self.messages[message].over {
                let timing = self.timing(message);
                self.audit.ended(self.now, forwarder, message, &timing, false);
                self.messages[message].over = true;
                self.open -= 1;
                self.figures.delivered(self.now, self.messages[message].first);
            }
            self.tell(
                forwarder,
                Event::Result {
                    id: MessageId(message as u64),
                    attempt,
                    endpoint: EndpointId(endpoint as u32 + 1),
                    outcome,
                    elapsed: self.now - sent,
                    ended,
                    report,
                },
            );
        }
    }

    fn cancel(&mut self, message: usize, attempt: u32) {
        let Some(number) = self.messages[message].call else { return };
        let place =
            self.calls[number].parts.iter().position(|p| p.message == message && p.attempt == attempt);
        if let Some(part) = place {
            let what =
                What::Back { call: number, part: Some(part), outcome: Outcome::Cancelled, report: None };
            self.at(self.now, what);
        }
    }

    /// The module's end of a message; refused, with advice on when to come again, or failed.
    fn end(&mut self, forwarder: usize, message: usize, refused: Option<Option<Micros>>) {
        let timing = self.timing(message);
        self.audit.ended(self.now, forwarder, message, &timing, refused.is_some());
        let m = &mut self.messages[message];
        self.open -= usize::from(!m.over);
        m.over = true;
        let (first, retried) = (m.first, m.retried);
        self.figures.given_up(refused.is_some());
        let Some(advice) = refused else { return };
        if let Some(wait) = self.world.hands[first].again.filter(|_| !retried) {
            let later = advice.unwrap_or(0).max(wait);
            self.at(self.now + later, What::Hand { first, again: Some(message) });
        }
    }
}
