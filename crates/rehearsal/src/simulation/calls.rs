//! Calls from forwarders to endpoints: connections, attempts, timeouts, and the answers of the destination models.

use super::event_queue::SimulationEvent;
use super::Simulation;
use crate::audit::MessageEnd;
use cedarbridge::{EndpointId, Event, LoadReport, MessageId, Micros, Outcome};
use cedarbridge_endpoint_model::{Answer, Fault, InFlightEffect};
use rand::RngExt;
use std::collections::VecDeque;

/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// A connection that is not established within this time has failed.
const CONNECT_TIMEOUT: Micros = 1_500_000;

/// An attempt to deliver a message, as part of a call.
pub(super) struct Attempt {
    pub(super) message: usize,
    /// The attempt's number for this message, from 0.
    pub(super) attempt: u32,
    pub(super) timeout_at: Micros,
    /// Whether the message ends with this attempt's timeout and is not sent again.
    pub(super) final_attempt: bool,
    /// Whether the attempt has no outcome yet.
    pub(super) pending: bool,
}

/// A call, or the slot of an ended call that the next call reuses.
#[derive(Default)]
pub(super) struct Call {
    pub(super) forwarder: usize,
    pub(super) endpoint: usize,
    pub(super) sent_at: Micros,
    /// Whether its last byte has arrived at the endpoint.
    pub(super) arrived: bool,
    /// Whether it got no connection because the endpoint has reached its connection limit.
    pub(super) connect_failed: bool,
    /// Scheduled events that carry an older version are void.
    pub(super) version: u32,
    pub(super) attempts: Vec<Attempt>,
}

/// A forwarder's connections to an endpoint.
#[derive(Clone, Default)]
pub(super) struct EndpointLink {
    /// Calls in flight, each on its own connection.
    pub(super) in_flight: u32,
    /// The largest number of calls that were in flight at once.
    pub(super) peak: u32,
    /// The number of further calls that find a half-open connection: dead at the endpoint, open to the forwarder.
    pub(super) half_open: u32,
    /// The time since which each idle connection is idle, oldest first.
    pub(super) idle: VecDeque<Micros>,
}

impl EndpointLink {
    /// The number of open connections; closes those that have been idle for too long.
    pub(super) fn open_connections(&mut self, now: Micros) -> usize {
        while self.idle.front().is_some_and(|since| since + IDLE_TIMEOUT <= now) {
            self.idle.pop_front();
        }
        self.in_flight as usize + self.idle.len()
    }
}

impl Simulation<'_> {
    /// Starts a call to an endpoint and returns its index in `calls`.
    pub(super) fn begin_call(&mut self, forwarder: usize, endpoint: EndpointId) -> usize {
        let endpoint = endpoint.0 as usize - 1;
        let number = self.free_calls.pop().unwrap_or_else(|| {
            self.calls.push(Call::default());
            self.calls.len() - 1
        });
        let call = &mut self.calls[number];
        (call.forwarder, call.endpoint, call.sent_at, call.arrived) = (forwarder, endpoint, self.now, false);
        call.attempts.clear();
        let version = call.version;
        self.in_flight[self.environment.endpoints[endpoint].destination].push(number);
        self.calls[number].connect_failed = !self.connect(forwarder, endpoint);
        let arrives_at = self.now + self.draw_network_delay();
        self.schedule(arrives_at, SimulationEvent::CallArrives(number, version));
        number
    }

    /// Reuses an idle connection for a call, or opens one. Returns false if the endpoint has reached its connection limit.
    pub(super) fn connect(&mut self, forwarder: usize, endpoint: usize) -> bool {
        let (now, endpoint_count) = (self.now, self.environment.endpoints.len());
        let limit = self.environment.max_connections[self.environment.endpoints[endpoint].destination];
        let index = forwarder * endpoint_count + endpoint;
        self.links[index].open_connections(now);
        let reused = self.links[index].idle.pop_back().is_some();
        let mut open_connections = || {
            self.links
                .iter_mut()
                .skip(endpoint)
                .step_by(endpoint_count)
                .map(|l| l.open_connections(now))
                .sum::<usize>()
        };
        let connected = reused || limit == usize::MAX || open_connections() < limit;
        let link = &mut self.links[index];
        link.in_flight += u32::from(connected);
        link.peak = link.peak.max(link.in_flight);
        self.figures.connections += u64::from(connected && !reused);
        connected
    }

    /// Frees a call's slot for reuse; events that are still scheduled for the call become void. An answered call leaves its
    /// connection open and idle.
    pub(super) fn release_call(&mut self, number: usize, answered: bool) {
        let call = &mut self.calls[number];
        call.version = call.version.wrapping_add(1);
        let (forwarder, endpoint, connect_failed) = (call.forwarder, call.endpoint, call.connect_failed);
        let in_flight = &mut self.in_flight[self.environment.endpoints[endpoint].destination];
        if let Some(index) = in_flight.iter().position(|other| *other == number) {
            in_flight.swap_remove(index);
        }
        let link = &mut self.links[forwarder * self.environment.endpoints.len() + endpoint];
        if !connect_failed {
            link.in_flight = link.in_flight.saturating_sub(1);
            link.idle.extend(answered.then_some(self.now));
        }
        self.free_calls.push(number);
    }

    /// Draws a one-way delay of the network.
    pub(super) fn draw_network_delay(&mut self) -> Micros {
        self.rng.random_range(self.environment.network_delay.0..=self.environment.network_delay.1)
    }

    /// Adds a message's attempt to a call.
    pub(super) fn add_attempt(&mut self, number: usize, message: usize, timeout_at: Micros, is_final: bool) {
        let call = &mut self.calls[number];
        let endpoint = call.endpoint;
        let state = &mut self.messages[message];
        call.attempts.push(Attempt {
            message,
            attempt: state.attempts,
            timeout_at,
            final_attempt: is_final,
            pending: true,
        });
        state.attempts += 1;
        state.call = Some(number as u32);
        let timing = self.timing(message);
        let destination = self.environment.endpoints[endpoint].destination;
        self.audit.attempt_sent(self.now, self.now, (destination, endpoint), message, &timing);
        self.figures.attempt_sent();
    }

    /// Handles the arrival of a call's last byte at its endpoint: schedules the call's end by its answer or its timeout.
    pub(super) fn call_arrives(&mut self, number: usize, version: u32) {
        let call = &mut self.calls[number];
        if call.version != version {
            return;
        }
        call.arrived = true;
        if call.connect_failed {
            let answered_at = self.now + self.draw_network_delay();
            return self.schedule_outcome(number, Some((answered_at, Outcome::ConnectFailed)), None, true);
        }
        let (forwarder, endpoint, sent_at, attempts) =
            (call.forwarder, call.endpoint, call.sent_at, call.attempts.len());
        let listed = &self.environment.endpoints[endpoint];
        let (destination, endpoint_index) = (listed.destination, listed.index);
        let link = &mut self.links[forwarder * self.environment.endpoints.len() + endpoint];
        if link.half_open > 0 {
            link.half_open -= 1;
            if self.destinations[destination].dominant_fault() == Some(Fault::HalfOpenConnections) {
                return self.schedule_outcome(number, None, None, false);
            }
        }
        self.figures.call_received(self.now, destination);
        let response = self.destinations[destination].call(self.now, endpoint_index, attempts);
        let return_delay = self.draw_network_delay();
        let report = response.report.map(|r| LoadReport { remaining_share: r.remaining_share, rate: r.rate });
        let answer = match response.answer.map(|a| (a.at, a.answer)) {
            Some((_, Answer::ConnectionRefused)) => Some((self.now + return_delay, Outcome::ConnectFailed)),
            Some((at, Answer::Ok)) => Some((at + return_delay, Outcome::Ok)),
            Some((at, Answer::ConnectionReset)) => Some((at + return_delay, Outcome::Reset)),
            Some((at, Answer::Error)) => Some((at + return_delay, Outcome::Error)),
            Some((at, Answer::Rejected(wait))) => Some((at + return_delay, Outcome::Rejected(wait))),
            None if response.unconnected => Some((sent_at + CONNECT_TIMEOUT, Outcome::ConnectFailed)),
            None => None,
        };
        self.schedule_outcome(number, answer, report, response.unconnected);
    }

    /// Schedules the end of a call, by its answer or by its timeouts, and voids the events that were scheduled before.
    pub(super) fn schedule_outcome(
        &mut self,
        number: usize,
        answer: Option<(Micros, Outcome)>,
        report: Option<LoadReport>,
        unconnected: bool,
    ) {
        // As on sockets: an attempt that times out at the end of its message leaves the call running for the other attempts.
        // Any other timeout ends the whole call.
        let call = &mut self.calls[number];
        call.version = call.version.wrapping_add(1);
        let version = call.version;
        let pending = || call.attempts.iter().filter(|a| a.pending);
        let first_call_timeout = pending().filter(|a| !a.final_attempt).map(|a| a.timeout_at).min();
        let Some(last_timeout) = pending().map(|a| a.timeout_at).max() else { return };
        let timeout = first_call_timeout.unwrap_or(last_timeout);
        let end = answer.map_or(timeout, |a| a.0.min(timeout));
        let earlier_timeouts: Vec<(usize, Micros)> =
            call.attempts.iter().enumerate().map(|(n, a)| (n, a.timeout_at)).filter(|a| a.1 < end).collect();
        for (attempt_index, at) in earlier_timeouts {
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
            Some((at, outcome)) if at < timeout => {
                (outcome, report.filter(|_| outcome != Outcome::ConnectFailed))
            }
            // Without a connection, the destination cannot have processed anything.
            _ if unconnected => (Outcome::ConnectFailed, None),
            _ => (Outcome::TimedOut, None),
        };
        let event = SimulationEvent::CallEnds { call: number, version, attempt_index: None, outcome, report };
        self.schedule(end.max(self.now), event);
    }

    /// Completes one attempt of a call, or all pending ones if the index is `None`, and reports the outcomes to the policy.
    pub(super) fn complete_attempts(
        &mut self,
        number: usize,
        attempt_index: Option<usize>,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let call = &mut self.calls[number];
        let (forwarder, endpoint, sent_at) = (call.forwarder, call.endpoint, call.sent_at);
        let destination = self.environment.endpoints[endpoint].destination;
        let completed: Vec<(usize, u32)> = call
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(n, a)| a.pending && attempt_index.is_none_or(|index| index == *n))
            .map(|(_, a)| {
                a.pending = false;
                (a.message, a.attempt)
            })
            .collect();
        if call.attempts.iter().all(|a| !a.pending) && !completed.is_empty() {
            self.figures.slot_released(self.now, destination, self.now - sent_at);
            let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected(_) | Outcome::Error);
            self.release_call(number, answered);
        }
        for (message, attempt) in completed {
            self.audit.attempt_ended(self.now, destination, message, sent_at, outcome);
            self.figures.attempt_ended(outcome);
            self.messages[message].call = None;
            let completes_message = outcome == Outcome::Ok;
            if completes_message && !self.messages[message].closed {
                let timing = self.timing(message);
                self.audit.message_ended(self.now, message, &timing, MessageEnd::Delivered);
                self.close_message(message);
                self.figures.delivered(self.now, self.messages[message].request as usize);
            }
            self.push_event(
                forwarder,
                Event::AttemptEnded {
                    id: MessageId(message as u64),
                    attempt,
                    endpoint: EndpointId(endpoint as u32 + 1),
                    outcome,
                    elapsed: self.now - sent_at,
                    completes_message,
                    report,
                },
            );
        }
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn cancel(&mut self, message: usize, attempt: u32) {
        let Some(number) = self.messages[message].call.map(|c| c as usize) else { return };
        let call = &self.calls[number];
        let found = call.attempts.iter().position(|a| a.message == message && a.attempt == attempt);
        if let Some(attempt_index) = found {
            let (attempt_index, outcome, version) = (Some(attempt_index), Outcome::Cancelled, call.version);
            self.schedule(
                self.now,
                SimulationEvent::CallEnds { call: number, version, attempt_index, outcome, report: None },
            );
        }
    }

    /// Applies the faults that start or end now; a destination may have several faults at once.
    pub(super) fn apply_faults(&mut self) {
        let now = self.now;
        let environment = self.environment;
        let changed =
            environment.faults.iter().filter(|f| f.start == now || f.end == now).map(|f| f.destination);
        for destination in changed.collect::<std::collections::BTreeSet<_>>() {
            let active = environment.faults.iter().filter(|f| f.applies(destination, now)).map(|f| f.fault);
            self.destinations[destination].set_faults(now, active.collect());
            let starting =
                environment.faults.iter().filter(|f| f.destination == destination && f.start == now);
            for fault in starting.map(|f| f.fault) {
                if fault == Fault::HalfOpenConnections {
                    self.mark_half_open(destination);
                }
                if let Some(effect) = fault.effect_on_calls_in_flight() {
                    self.end_calls_in_flight(destination, effect);
                }
            }
        }
    }

    /// For each forwarder and endpoint of a destination, makes as many connections half-open as calls were ever in flight at
    /// once: calls on them get no answer.
    pub(super) fn mark_half_open(&mut self, destination: usize) {
        let endpoint_count = self.environment.endpoints.len();
        for (n, link) in self.links.iter_mut().enumerate() {
            if self.environment.endpoints[n % endpoint_count].destination == destination {
                link.half_open = link.peak;
            }
        }
    }

    /// Ends the calls that a destination is processing, with the effect of its new fault.
    pub(super) fn end_calls_in_flight(&mut self, destination: usize, effect: InFlightEffect) {
        for number in self.in_flight[destination].clone() {
            if !self.calls[number].arrived {
                continue;
            }
            let answer = match effect {
                InFlightEffect::Reset => Some((self.now + self.draw_network_delay(), Outcome::Reset)),
                InFlightEffect::Silent => None,
            };
            self.schedule_outcome(number, answer, None, false);
        }
    }
}
