//! A step: passes the collected events to the policy and performs the actions that it returns, in their order.

use super::actor::DeliveryActor;
use super::attempts::PlannedCall;
use super::message_end::Abandonment;
use crate::net::handover::frames::PolicyTimer;
use crate::net::messages::{EndpointListMessage, SubmitReply};
use crate::{Action, EndpointListUpdate, Event, Lifecycle, MessageId, Micros, NewMessage};
use slog::{info, warn};
use std::cmp::Reverse;

impl DeliveryActor {
    /// Makes a step, unless there is no event.
    pub(super) async fn step(&mut self) {
        let now = self.context.clock.now();
        self.last_step_at = now;
        self.collect_due_timers(now);
        self.collect_journal_status();
        if self.events.is_empty() {
            return;
        }
        self.withdraw_messages_of_gone_clients();
        let mut events = std::mem::take(&mut self.events);
        self.refresh_time_left(&mut events, now);
        let mut actions = Vec::new();
        self.policy.step(now, &events, &mut actions);
        self.record_observed_drains(&events, now);
        self.perform_actions(actions, now).await;
        for event in &events {
            if let Event::Message(message) = event {
                self.accept_message(message);
            }
        }
    }

    fn collect_due_timers(&mut self, now: Micros) {
        while let Some(Reverse(timer)) = self.timers.peek().copied().filter(|timer| timer.0.due_at <= now) {
            self.timers.pop();
            self.events.push(Event::Timer { token: timer.token });
        }
    }

    fn collect_journal_status(&mut self) {
        let writable = self.context.journal.is_writable();
        if writable != self.journal_writable {
            self.journal_writable = writable;
            self.events.push(Event::JournalStatus { writable });
        }
    }

    /// Withdraws new messages whose clients have disconnected, before an attempt is made for them.
    fn withdraw_messages_of_gone_clients(&mut self) {
        let disconnected = |event: &Event| match event {
            Event::Message(message) => {
                let reply = self.messages.get(&message.id)?.reply.as_ref()?;
                reply.is_closed().then_some(message.id)
            }
            _ => None,
        };
        let withdrawn: Vec<MessageId> = self.events.iter().filter_map(disconnected).collect();
        withdrawn.into_iter().for_each(|id| self.withdraw(id));
    }

    /// Updates the time left of new messages: a deadline counts from the last byte of the request, not from the step.
    fn refresh_time_left(&self, events: &mut [Event], now: Micros) {
        for event in events {
            if let Event::Message(message) = event {
                let open = self.messages.get(&message.id);
                message.time_left = open.map_or(0, |open| open.message.request.deadline.saturating_sub(now));
            }
        }
    }

    /// Records in the endpoint table the drains that the policy has learned of by these events.
    fn record_observed_drains(&self, events: &[Event], now: Micros) {
        for event in events {
            let Event::EndpointList(
                EndpointListUpdate::Patch(entries) | EndpointListUpdate::Complete(entries),
            ) = event
            else {
                continue;
            };
            let draining = entries.iter().filter(|entry| entry.lifecycle != Lifecycle::Listed);
            draining.for_each(|entry| self.context.endpoint_table.record_drain_observed(entry.endpoint, now));
        }
    }

    async fn perform_actions(&mut self, actions: Vec<Action>, now: Micros) {
        let mut calls: Vec<PlannedCall> = Vec::new();
        for action in actions {
            match action {
                Action::Send { .. } => self.plan_attempt(&mut calls, &action),
                Action::Reject { id, retry_after, reason } => {
                    self.abandon(id, Abandonment::Returned(retry_after), reason).await;
                }
                Action::Fail { id, reason } => self.abandon(id, Abandonment::Failed, reason).await,
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::Timer { delay, token } => {
                    self.timers.push(Reverse(PolicyTimer { due_at: now + delay, token }));
                }
                Action::CloseIdle { endpoint } => {
                    // Calls that the policy decided on before this action may still use the idle connections.
                    self.send_calls(now, std::mem::take(&mut calls));
                    self.endpoints.close_idle(endpoint);
                }
                Action::Subscribe => {
                    // If its mailbox is full, the endpoint list actor is running and resubscribes anyway.
                    let _ = self.endpoint_list.try_send(EndpointListMessage::Resubscribe);
                }
                Action::HealthCheck { endpoint } => {
                    warn!(self.context.log, "health checks are not supported"; "endpoint" => endpoint.0);
                }
                Action::Log(line) => info!(self.context.log, "decision"; "text" => line),
            }
        }
        self.send_calls(now, calls);
    }

    /// Tells the client of a new message that it is accepted, unless this step has ended the message.
    fn accept_message(&mut self, message: &NewMessage) {
        let Some(open) = self.messages.get_mut(&message.id) else { return };
        let Some(reply) = open.reply.take() else { return };
        if reply.try_send(SubmitReply::Accepted(message.id)).is_err() {
            return self.withdraw(message.id);
        }
        open.accepted = true;
        self.context.counters.messages_accepted.increment();
        let request_id = open.message.request.request_id.as_str();
        info!(self.context.log, "message"; "state" => "accepted", "id" => request_id, "class" => message.class.0,
            "destination" => message.destination.0, "left_ms" => message.time_left / 1000);
    }
}
