//! Calls between forwarders and endpoints: connections, attempts, timeouts, and what the destinations' models answer.

use super::event_queue::SimulationEvent;
use super::Simulation;
use crate::audit::MessageEnd;
use cedarbridge::{EndpointId, Event, LoadReport, MessageId, Micros, Outcome};
use cedarbridge_endpoint_model::{Answer, Fault, InFlightEffect};
use rand::RngExt;
use std::collections::VecDeque;

/// An idle connection is closed after this.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// A connection that is not established within this has failed.
const CONNECT_TIMEOUT: Micros = 1_500_000;

/// A message's attempt within a call.
pub(super) struct Attempt {
    pub(super) message: usize,
    pub(super) attempt: u32,
    pub(super) timeout_at: Micros,
    pub(super) final_attempt: bool,
    pub(super) pending: bool,
}

/// A call, or the slot of one that has ended. Events of an earlier version of it are void.
#[derive(Default)]
pub(super) struct Call {
    pub(super) forwarder: usize,
    pub(super) endpoint: usize,
    pub(super) sent: Micros,
    pub(super) arrived: bool,
    /// The endpoint has reached its connection limit.
    pub(super) connect_failed: bool,
    pub(super) version: u32,
    pub(super) attempts: Vec<Attempt>,
}

/// A forwarder's connections to an endpoint.
#[derive(Clone, Default)]
pub(super) struct EndpointLink {
    /// Calls in flight, each on a connection of its own.
    pub(super) in_flight: u32,
    /// The most calls that were in flight at once.
    pub(super) peak: u32,
    /// Connections that are dead without the forwarder's knowing.
    pub(super) stranded: u32,
    /// Since when each idle connection is idle, the oldest first.
    pub(super) idle: VecDeque<Micros>,
}

impl EndpointLink {
    /// Connections that are open now.
    pub(super) fn open_connections(&mut self, now: Micros) -> usize {
        while self.idle.front().is_some_and(|since| since + IDLE_TIMEOUT <= now) {
            self.idle.pop_front();
        }
        self.in_flight as usize + self.idle.len()
    }
}

impl Simulation<'_> {
    /// Begins a call to an endpoint and returns its number.
    pub(super) fn begin_call(&mut self, forwarder: usize, endpoint: EndpointId) -> usize {
        let endpoint = endpoint.0 as usize - 1;
        let number = self.free_calls.pop().unwrap_or_else(|| {
            self.calls.push(Call::default());
            self.calls.len() - 1
        });
        let c = &mut self.calls[number];
        (c.forwarder, c.endpoint, c.sent, c.arrived) = (forwarder, endpoint, self.now, false);
        c.attempts.clear();
        let version = c.version;
        self.in_flight[self.world.list[endpoint].destination].push(number);
        self.calls[number].connect_failed = !self.connect(forwarder, endpoint);
        let arrives_at = self.now + self.network();
        self.schedule(arrives_at, SimulationEvent::CallArrives(number, version));
        number
    }

    /// Takes an idle connection for a call, or opens one; false if the endpoint has reached its connection limit.
    pub(super) fn connect(&mut self, forwarder: usize, endpoint: usize) -> bool {
        let (now, width) = (self.now, self.world.list.len());
        let most = self.world.connections[self.world.list[endpoint].destination];
        let at = forwarder * width + endpoint;
        self.links[at].open_connections(now);
        let reused = self.links[at].idle.pop_back().is_some();
        let mut held = || {
            self.links
                .iter_mut()
                .skip(endpoint)
                .step_by(width)
                .map(|l| l.open_connections(now))
                .sum::<usize>()
        };
        let made = reused || most == usize::MAX || held() < most;
        let link = &mut self.links[at];
        link.in_flight += u32::from(made);
        link.peak = link.peak.max(link.in_flight);
        self.figures.connections += u64::from(made && !reused);
        made
    }

    /// Frees a call: events still scheduled for it are void and its slot is reused. An answered call leaves its connection idle.
    pub(super) fn release_call(&mut self, number: usize, answered: bool) {
        let c = &mut self.calls[number];
        c.version = c.version.wrapping_add(1);
        let (forwarder, endpoint, connect_failed) = (c.forwarder, c.endpoint, c.connect_failed);
        let in_flight = &mut self.in_flight[self.world.list[endpoint].destination];
        if let Some(at) = in_flight.iter().position(|o| *o == number) {
            in_flight.swap_remove(at);
        }
        let link = &mut self.links[forwarder * self.world.list.len() + endpoint];
        if !connect_failed {
            link.in_flight = link.in_flight.saturating_sub(1);
            link.idle.extend(answered.then_some(self.now));
        }
        self.free_calls.push(number);
    }

    /// Draws the one-way time of the network.
    pub(super) fn network(&mut self) -> Micros {
        self.rng.random_range(self.world.network.0..=self.world.network.1)
    }

    /// Adds a message's attempt to a call.
    pub(super) fn add_attempt(&mut self, number: usize, message: usize, timeout_at: Micros, last: bool) {
        let call = &mut self.calls[number];
        let endpoint = call.endpoint;
        let m = &mut self.messages[message];
        call.attempts.push(Attempt {
            message,
            attempt: m.attempts,
            timeout_at,
            final_attempt: last,
            pending: true,
        });
        m.attempts += 1;
        m.call = Some(number as u32);
        let timing = self.timing(message);
        let destination = self.world.list[endpoint].destination;
        self.audit.sent(self.now, self.now, (destination, endpoint), message, &timing);
        self.figures.attempt();
    }

    /// The last byte of a call has arrived: schedules what comes back first, the answer or the timeout.
    pub(super) fn call_arrives(&mut self, number: usize, version: u32) {
        let call = &mut self.calls[number];
        if call.version != version {
            return;
        }
        call.arrived = true;
        if call.connect_failed {
            let back = self.now + self.network();
            return self.schedule_outcome(number, Some((back, Outcome::ConnectFailed)), None, true);
        }
        let (forwarder, endpoint, sent, attempts) =
            (call.forwarder, call.endpoint, call.sent, call.attempts.len());
        let listed = &self.world.list[endpoint];
        let (destination, place) = (listed.destination, listed.index);
        let link = &mut self.links[forwarder * self.world.list.len() + endpoint];
        if link.stranded > 0 {
            link.stranded -= 1;
            if self.destinations[destination].visible_fault() == Some(Fault::HalfOpenConnections) {
                return self.schedule_outcome(number, None, None, false);
            }
        }
        self.figures.call(self.now, destination);
        let response = self.destinations[destination].call(self.now, place, attempts);
        let back = self.network();
        let report = response.report.map(|r| LoadReport { remaining_share: r.remaining_share, rate: r.rate });
        let answer = match response.answer.map(|a| (a.at, a.answer)) {
            Some((_, Answer::ConnectionRefused)) => Some((self.now + back, Outcome::ConnectFailed)),
            Some((at, Answer::Ok)) => Some((at + back, Outcome::Ok)),
            Some((at, Answer::ConnectionReset)) => Some((at + back, Outcome::Reset)),
            Some((at, Answer::Error)) => Some((at + back, Outcome::Error)),
            Some((at, Answer::Rejected(wait))) => Some((at + back, Outcome::Rejected(wait))),
            None if response.unconnected => Some((sent + CONNECT_TIMEOUT, Outcome::ConnectFailed)),
            None => None,
        };
        self.schedule_outcome(number, answer, report, response.unconnected);
    }

    /// Schedules how a call ends, by its answer or by its timeouts, and voids what was scheduled before.
    pub(super) fn schedule_outcome(
        &mut self,
        number: usize,
        answer: Option<(Micros, Outcome)>,
        report: Option<LoadReport>,
        unconnected: bool,
    ) {
        // As on sockets: a final attempt times out alone, any other timeout ends the call.
        let call = &mut self.calls[number];
        call.version = call.version.wrapping_add(1);
        let version = call.version;
        let waited = || call.attempts.iter().filter(|p| p.pending);
        let firm = waited().filter(|p| !p.final_attempt).map(|p| p.timeout_at).min();
        let Some(latest) = waited().map(|p| p.timeout_at).max() else { return };
        let cut = firm.unwrap_or(latest);
        let end = answer.map_or(cut, |a| a.0.min(cut));
        let alone: Vec<(usize, Micros)> =
            call.attempts.iter().enumerate().map(|(n, p)| (n, p.timeout_at)).filter(|p| p.1 < end).collect();
        for (attempt_index, at) in alone {
            let event = SimulationEvent::CallEnds {
                call: number,
                version,
                attempt_index: Some(attempt_index),
                outcome: Outcome::TimedOut,
                report: None,
            };
            self.schedule(at.max(self.now), event);
        }
        let (outcome, report) = match answer {
            Some((at, outcome)) if at < cut => {
                (outcome, report.filter(|_| outcome != Outcome::ConnectFailed))
            }
            // No connection was established by then, so nothing can have run.
            _ if unconnected => (Outcome::ConnectFailed, None),
            _ => (Outcome::TimedOut, None),
        };
        let event = SimulationEvent::CallEnds { call: number, version, attempt_index: None, outcome, report };
        self.schedule(end.max(self.now), event);
    }

    /// Completes the attempts of a call, or one of them, and reports the outcomes to the policy.
    pub(super) fn complete_attempts(
        &mut self,
        number: usize,
        attempt_index: Option<usize>,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let call = &mut self.calls[number];
        let (forwarder, endpoint, sent) = (call.forwarder, call.endpoint, call.sent);
        let destination = self.world.list[endpoint].destination;
        let due: Vec<(usize, u32)> = call
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(n, p)| p.pending && attempt_index.is_none_or(|only| only == *n))
            .map(|(_, p)| {
                p.pending = false;
                (p.message, p.attempt)
            })
            .collect();
        if call.attempts.iter().all(|p| !p.pending) && !due.is_empty() {
            self.figures.slot_released(self.now, destination, self.now - sent);
            let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected(_) | Outcome::Error);
            self.release_call(number, answered);
        }
        for (message, attempt) in due {
            self.audit.attempt_ended(self.now, destination, message, sent, outcome);
            self.figures.outcome(outcome);
            self.messages[message].call = None;
            let completes_message = outcome == Outcome::Ok;
            if completes_message && !self.messages[message].closed {
                let timing = self.timing(message);
                self.audit.ended(self.now, message, &timing, MessageEnd::Delivered);
                self.close_message(message);
                self.figures.delivered(self.now, self.messages[message].first as usize);
            }
            self.push_event(
                forwarder,
                Event::AttemptEnded {
                    id: MessageId(message as u64),
                    attempt,
                    endpoint: EndpointId(endpoint as u32 + 1),
                    outcome,
                    elapsed: self.now - sent,
                    completes_message,
                    report,
                },
            );
        }
    }

    /// Cancels an attempt in flight.
    pub(super) fn cancel(&mut self, message: usize, attempt: u32) {
        let Some(number) = self.messages[message].call.map(|c| c as usize) else { return };
        let call = &self.calls[number];
        let place = call.attempts.iter().position(|p| p.message == message && p.attempt == attempt);
        if let Some(attempt_index) = place {
            let (attempt_index, outcome, version) = (Some(attempt_index), Outcome::Cancelled, call.version);
            self.schedule(
                self.now,
                SimulationEvent::CallEnds { call: number, version, attempt_index, outcome, report: None },
            );
        }
    }

    /// Applies the faults that begin or end now; one destination may have several at once.
    pub(super) fn apply_faults(&mut self) {
        let now = self.now;
        let world = self.world;
        let touched = world.faults.iter().filter(|f| f.begin == now || f.end == now).map(|f| f.destination);
        for destination in touched.collect::<std::collections::BTreeSet<_>>() {
            let active = world.faults.iter().filter(|f| f.applies(destination, now)).map(|f| f.fault);
            self.destinations[destination].set_faults(now, active.collect());
            let begins = world.faults.iter().filter(|f| f.destination == destination && f.begin == now);
            for begun in begins.map(|f| f.fault) {
                if begun == Fault::HalfOpenConnections {
                    self.strand_connections(destination);
                }
                if let Some(taken) = begun.effect_on_calls_in_flight() {
                    self.end_calls_in_flight(destination, taken);
                }
            }
        }
    }

    /// Leaves the connections that forwarders have open to a destination dead: calls on them get no answer.
    pub(super) fn strand_connections(&mut self, destination: usize) {
        let width = self.world.list.len();
        for (n, link) in self.links.iter_mut().enumerate() {
            if self.world.list[n % width].destination == destination {
                link.stranded = link.peak;
            }
        }
    }

    /// Ends the calls that a destination was working on, as its fault says.
    pub(super) fn end_calls_in_flight(&mut self, destination: usize, taken: InFlightEffect) {
        for number in self.in_flight[destination].clone() {
            if !self.calls[number].arrived {
                continue;
            }
            let answer = match taken {
                InFlightEffect::Reset => Some((self.now + self.network(), Outcome::Reset)),
                InFlightEffect::Silent => None,
            };
            self.schedule_outcome(number, answer, None, false);
        }
    }
}
