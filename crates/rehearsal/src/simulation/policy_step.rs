//! Steps of the forwarders' delivery policies, and the actions that the policies return.

use super::event_queue::SimulationEvent;
use super::Simulation;
use cedarbridge::{Action, DeliveryPolicy, Event, Micros};
use rayon::prelude::*;

/// One step of a forwarder's policy, taken out of the simulation so that steps can run in parallel.
pub(super) struct PolicyStep {
    pub(super) forwarder: usize,
    pub(super) policy: DeliveryPolicy,
    pub(super) events: Vec<Event>,
    pub(super) actions: Vec<Action>,
}

impl PolicyStep {
    pub(super) fn step(&mut self, now: Micros) {
        self.policy.step(now, &self.events, &mut self.actions);
    }
}

impl Simulation<'_> {
    /// Queues an event for a forwarder's next step.
    pub(super) fn push_event(&mut self, forwarder: usize, event: Event) {
        self.forwarders[forwarder].events.push(event);
        self.schedule_step(forwarder, self.now);
    }

    /// Schedules a forwarder's step at a time, but no sooner than the minimum step interval after its last step.
    pub(super) fn schedule_step(&mut self, forwarder: usize, at: Micros) {
        let process = &mut self.forwarders[forwarder];
        if !process.is_up {
            return;
        }
        let at = at.max(process.last_step + self.environment.settings.min_step_interval);
        let at = if self.common_steps {
            at.next_multiple_of(self.environment.settings.min_step_interval.max(1))
        } else {
            at
        };
        if process.due.is_none_or(|due| at < due) {
            process.due = Some(at);
            self.schedule(at, SimulationEvent::PolicyStep(forwarder));
        }
    }

    /// Takes a forwarder's step, if one is due now.
    pub(super) fn step_alone(&mut self, forwarder: usize) {
        if let Some(mut step) = self.take_due_step(forwarder) {
            step.step(self.now + self.environment.fleet[forwarder].clock_offset);
            self.apply_step(step);
        }
    }

    /// Takes the steps of all forwarders that are due now in parallel. Their actions are applied once all steps are done.
    pub(super) fn step_together(&mut self, first: usize) {
        let now = self.now;
        let mut due = vec![first];
        while let Some(event) = self.events.peek_at(now) {
            let SimulationEvent::PolicyStep(forwarder) = *event else {
                // Another event of the same time comes first: the steps are queued again behind it.
                due.drain(..).for_each(|f| self.schedule(now, SimulationEvent::PolicyStep(f)));
                return;
            };
            self.events.pop();
            due.push(forwarder);
        }
        let mut steps: Vec<PolicyStep> = due.into_iter().filter_map(|f| self.take_due_step(f)).collect();
        let fleet = &self.environment.fleet;
        steps.par_iter_mut().for_each(|s| s.step(now + fleet[s.forwarder].clock_offset));
        steps.into_iter().for_each(|s| self.apply_step(s));
    }

    /// Takes a forwarder's policy and pending events for a step, if one is due now.
    pub(super) fn take_due_step(&mut self, forwarder: usize) -> Option<PolicyStep> {
        let now = self.now;
        let process = &mut self.forwarders[forwarder];
        // A step that was scheduled for an earlier time replaces this one.
        if process.due != Some(now) {
            return None;
        }
        process.due = None;
        process.last_step = now;
        let mut events = std::mem::take(&mut process.events);
        for event in &mut events {
            // A message's time left counts from the step that reads the message.
            if let Event::Message(message) = event {
                let request = self.messages[message.id.0 as usize].request as usize;
                let deadline =
                    self.environment.requests[request].at + self.environment.settings.classes[0].deadline;
                message.time_left = deadline.saturating_sub(now);
            }
        }
        Some(PolicyStep {
            forwarder,
            policy: std::mem::take(&mut process.policy),
            events,
            actions: Vec::new(),
        })
    }

    /// Carries out the actions of a step, in order.
    pub(super) fn apply_step(&mut self, step: PolicyStep) {
        let (now, forwarder) = (self.now, step.forwarder);
        let clock_offset = self.environment.fleet[forwarder].clock_offset;
        self.forwarders[forwarder].policy = step.policy;
        let mut current_call: Option<(u64, usize)> = None;
        for action in step.actions {
            match action {
                Action::Send { id, endpoint, call, timeout_at, final_attempt: is_final, .. } => {
                    let number = match current_call.filter(|c| c.0 == call) {
                        Some((_, number)) => number,
                        None => self.begin_call(forwarder, endpoint),
                    };
                    current_call = Some((call, number));
                    self.add_attempt(
                        number,
                        id.0 as usize,
                        timeout_at.saturating_sub(clock_offset),
                        is_final,
                    );
                }
                Action::Reject { id, retry_after, .. } => {
                    self.reject_or_fail(id.0 as usize, Some(retry_after))
                }
                Action::Fail { id, .. } => self.reject_or_fail(id.0 as usize, None),
                Action::Cancel { id, attempt } => self.cancel(id.0 as usize, attempt),
                Action::Timer { delay, .. } => self.schedule(now + delay, SimulationEvent::Timer(forwarder)),
                Action::CloseIdle { endpoint } => {
                    let index = forwarder * self.environment.endpoints.len() + endpoint.0 as usize - 1;
                    self.links[index].idle.clear();
                }
                Action::HealthCheck { .. } | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }
}
