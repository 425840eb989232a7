//! The rules, held against what crossed the emulator's wires: apart from the module's own records. Every breach is
//! told by rule, forwarder, message and time.

use cedarbridge::routes::{Timing, MOST_ATTEMPTS};
use cedarbridge::{Class, Effect, Micros, Outcome, Settings};

/// A wait or a drain binds from the step that heard of it; what was decided in that step goes through.
const SLACK: Micros = 1_000;
/// A final answer may come so late.
const ANSWER_SLACK: Micros = 50_000;
/// New work may go to an endpoint for so long after the forwarder was told that it drains.
const DRAIN_GRACE: Micros = 250_000;

/// What is known of a message that a forwarder holds.
#[derive(Clone, Copy, Debug, Default)]
struct Track {
    handed_in: Micros,
    taken: Micros,
    deadline: Micros,
    attempts: u32,
    out: bool,
    first_ran: Option<Micros>,
    over: bool,
}

/// The rules of one day.
pub struct Audit {
    class: Class,
    messages: Vec<Track>,
    /// For each forwarder and partner, until when it was told to wait.
    waits: Vec<Vec<Micros>>,
    /// For each forwarder and endpoint, since when it knows that it drains.
    drains: Vec<Vec<Option<Micros>>>,
    /// What was broken.
    pub broken: Vec<String>,
}

impl Audit {
    /// An audit of so many forwarders, partners and endpoints.
    pub fn new(settings: &Settings, forwarders: usize, partners: usize, endpoints: usize) -> Self {
        Audit {
            class: settings.classes[0].clone(),
            messages: Vec::new(),
            waits: vec![vec![0; partners]; forwarders],
            drains: vec![vec![None; endpoints]; forwarders],
            broken: Vec::new(),
        }
    }

    fn breach(&mut self, now: Micros, forwarder: usize, message: usize, what: &str) {
        self.broken.push(format!("at {now} µs: forwarder {forwarder}, message {message}: {what}"));
    }

    /// A message is handed in; messages are numbered as they come.
    pub fn taken(&mut self, now: Micros, handed_in: Micros, time_left: Micros) {
        let deadline = now + time_left;
        self.messages.push(Track { handed_in, taken: now, deadline, ..Track::default() });
    }

    /// An attempt goes out; the timing is what the plan says of its message.
    pub fn sent(
        &mut self,
        now: Micros,
        forwarder: usize,
        to: (usize, usize),
        message: usize,
        timing: &Timing,
    ) {
        let (partner, endpoint) = to;
        let m = self.messages[message];
        let mut found = Vec::new();
        if m.over {
            found.push("an attempt after its end");
        }
        if m.out {
            found.push("a second attempt while one is out");
        }
        if m.attempts >= timing.most(MOST_ATTEMPTS) {
            found.push("more attempts than allowed");
        }
        match (self.class.effect, m.first_ran) {
            (Effect::Unsafe, Some(_)) => found.push("a repeat of what may not run twice"),
            (Effect::Keyed, Some(first)) if now >= first + self.class.memory_span => {
                found.push("a repeat after the partner's memory of the first");
            }
            _ => {}
        }
        if now + SLACK < self.waits[forwarder][partner] {
            found.push("sent within a told wait");
        }
        if self.drains[forwarder][endpoint].is_some_and(|since| now > since + DRAIN_GRACE) {
            found.push("sent to an endpoint that drains");
        }
        found.into_iter().for_each(|what| self.breach(now, forwarder, message, what));
        let m = &mut self.messages[message];
        (m.out, m.attempts) = (true, m.attempts + 1);
    }

    /// An attempt that was sent at a time has come back.
    pub fn back(&mut self, now: Micros, of: (usize, usize), message: usize, sent: Micros, outcome: Outcome) {
        let (forwarder, partner) = of;
        let m = &mut self.messages[message];
        m.out = false;
        let unsure = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Stale | Outcome::Cancelled | Outcome::Error
        );
        if unsure {
            m.first_ran.get_or_insert(sent);
        }
        if let Outcome::Full(Some(wait)) = outcome {
            let until = &mut self.waits[forwarder][partner];
            *until = (*until).max(now + wait);
        }
    }

    /// A message has got its final answer.
    pub fn ended(&mut self, now: Micros, forwarder: usize, message: usize, timing: &Timing, refused: bool) {
        let m = self.messages[message];
        if m.over {
            self.breach(now, forwarder, message, "a second final answer");
        }
        if refused && m.first_ran.is_some() && self.class.effect != Effect::Safe {
            self.breach(now, forwarder, message, "given back though it may have run");
        }
        // A reload never shortens the time of an attempt that is out; days here have none.
        // One that comes again after its time is answered at once.
        if now > timing.end(m.handed_in, m.deadline).max(m.taken) + ANSWER_SLACK {
            self.breach(now, forwarder, message, "its final answer came too late");
        }
        self.messages[message].over = true;
    }

    /// A forwarder learns that an endpoint drains, or is in service again.
    pub fn lists(&mut self, now: Micros, forwarder: usize, endpoint: usize, drains: bool) {
        self.drains[forwarder][endpoint] = drains.then_some(now);
    }

    /// The day is over: all must have ended, and no partner may have been pushed over.
    pub fn close(&mut self, now: Micros, fallen: impl Iterator<Item = (usize, Micros)>) {
        for (message, m) in self.messages.clone().iter().enumerate() {
            if !m.over {
                self.breach(now, 0, message, "never got a final answer");
            }
        }
        for (partner, at) in fallen {
            self.broken.push(format!("at {at} µs: partner {partner} was pushed over on its return"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn audit(effect: Effect) -> Audit {
        let mut settings = crate::world::platform().0;
        settings.classes[0].effect = effect;
        let mut audit = Audit::new(&settings, 1, 1, 1);
        audit.taken(0, 0, 28_000_000);
        audit
    }

    fn send(a: &mut Audit, now: Micros) {
        a.sent(now, 0, (0, 0), 0, &Timing { attempts: Some(3), ..Timing::default() });
    }

    fn back(a: &mut Audit, now: Micros, outcome: Outcome) {
        a.back(now, (0, 0), 0, now - 1, outcome);
    }

    /// Each rule broken once, by hand: an audit that cannot fail would prove nothing.
    #[test]
    fn each_rule_that_is_broken_is_told() {
        type Break = fn(&mut Audit);
        let cases: [(&str, Break); 10] = [
            ("a second attempt while one is out", |a| (1..3).for_each(|t| send(a, t))),
            ("more attempts than allowed", |a| {
                (1..5).for_each(|t| {
                    send(a, t * 10);
                    back(a, t * 10 + 1, Outcome::Full(None));
                });
            }),
            ("memory of the first", |a| {
                send(a, 1);
                back(a, 10, Outcome::TimedOut);
                send(a, 30_000_010);
            }),
            ("sent within a told wait", |a| {
                send(a, 1);
                back(a, 10, Outcome::Full(Some(500_000)));
                send(a, 400_000);
            }),
            ("sent to an endpoint that drains", |a| {
                a.lists(5, 0, 0, true);
                send(a, 250_006);
            }),
            ("a second final answer", |a| (1..3).for_each(|t| a.ended(t, 0, 0, &Timing::default(), true))),
            ("an attempt after its end", |a| {
                a.ended(1, 0, 0, &Timing::default(), true);
                send(a, 2);
            }),
            ("though it may have run", |a| {
                send(a, 1);
                back(a, 10, Outcome::Reset);
                a.ended(20, 0, 0, &Timing::default(), true);
            }),
            ("too late", |a| {
                a.ended(9_100_000, 0, 0, &Timing { give_up: Some(9_000_000), ..Timing::default() }, true)
            }),
            ("never got a final answer", |a| a.close(1, std::iter::empty())),
        ];
        for (what, break_it) in cases {
            let mut a = audit(Effect::Keyed);
            break_it(&mut a);
            assert!(a.broken.len() == 1 && a.broken[0].contains(what), "{what}: {:?}", a.broken);
        }
        let mut a = audit(Effect::Unsafe);
        send(&mut a, 1);
        back(&mut a, 10, Outcome::Error);
        send(&mut a, 20);
        assert!(a.broken[0].contains("may not run twice"));
        a.ended(30, 0, 0, &Timing::default(), false);
        a.close(40, [(0, 35)].into_iter());
        assert!(a.broken[1].contains("pushed over"));
    }
}
