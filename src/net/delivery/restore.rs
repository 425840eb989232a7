//! Restores from the journal the messages that an earlier process accepted and did not complete.

use super::actor::DeliveryActor;
use super::unconfirmed_ends::UnconfirmedEnd;
use crate::journal::{CompletedMessage, JournaledMessage, Progress, ReportedEnd};
use crate::net::in_flight::{InFlightMessage, Request};
use crate::net::messages::DeliveryReport;
use crate::net::request_ids::EndedId;
use crate::{ClassId, DestinationId, MessageId, TenantId, ZoneId};

impl DeliveryActor {
    /// Passes the journaled messages to the policy under their ids, and queues delivery reports for those that must
    /// not be sent again, among them messages that may have ended.
    pub async fn restore(&mut self, journaled: Vec<(u64, JournaledMessage)>) {
        for (id, journaled) in journaled {
            let id = MessageId(id);
            if self.is_fenced(id, &journaled) {
                self.hold_fenced(id, journaled);
                continue;
            }
            if has_unconfirmed_end(&journaled.progress) {
                self.report_unconfirmed_end(id, &UnconfirmedEnd::from(&journaled)).await;
                continue;
            }
            self.context.counters.restored.increment();
            let end = self.end_without_attempt(&journaled);
            let report = |end: ReportedEnd, journaled: JournaledMessage| DeliveryReport {
                id,
                request_id: journaled.request_id,
                end,
                deadline: journaled.deadline,
                memory: None,
            };
            match (journaled.progress.report, end) {
                // The platform may already have received this report, so the message must not be sent any more.
                (Some(journaled_end), _) => self.queue_report(report(journaled_end, journaled)).await,
                (None, Some(end)) => self.report_end(report(end, journaled)).await,
                (None, None) => self.restore_message(id, journaled),
            }
        }
    }

    /// Remembers the ids of messages that an earlier process has completed.
    pub fn restore_ended_ids(&self, completed: Vec<CompletedMessage>) {
        let (now, config) = (self.context.clock.now(), self.context.config());
        for message in completed {
            let class = self.names.classes.iter().position(|class| *class == message.class).map(ClassId);
            let until = message.deadline + class.map_or(0, |class| config.id_memory(class));
            self.context.request_ids.remember(EndedId { request_id: message.request_id.into(), until }, now);
        }
    }

    /// How a message ends that must not be sent again; `None` if it may be sent. A non-idempotent message that may
    /// have run fails. A message whose class was removed from the settings fails if it may have run, and is returned
    /// otherwise.
    fn end_without_attempt(&self, journaled: &JournaledMessage) -> Option<ReportedEnd> {
        let may_have_run = journaled.progress.may_have_run();
        match self.class_of(journaled) {
            Some(class) if may_have_run && self.context.config().non_idempotent[class.0] => {
                Some(ReportedEnd::Failed)
            }
            Some(_) => None,
            None if may_have_run => Some(ReportedEnd::Failed),
            None => Some(ReportedEnd::Returned(None)),
        }
    }

    fn restore_message(&mut self, id: MessageId, journaled: JournaledMessage) {
        let class = self.class_of(&journaled).unwrap_or_default();
        let progress = journaled.progress.clone();
        let request = self.rebuild_request(journaled, class, progress.may_have_run());
        let memory = self.memory_of_accepted(&request);
        let mut message = InFlightMessage::new(id, request, progress.attempts).with_memory(memory);
        message.restored = true;
        self.set_possible_effects(&mut message, &progress);
        self.open_new_message(message, None);
    }

    /// Sets which attempts of a message may have run, as journaled.
    pub(super) fn set_possible_effects(&self, message: &mut InFlightMessage, progress: &Progress) {
        message.first_possible_effect = progress.first_possible_effect.as_ref().map(|start| {
            // `usize::MAX` stands for a zone that was removed from the settings. It equals no other zone, so a retry
            // that must stay in the removed zone is not sent.
            let zone = self.names.zones.iter().position(|zone| *zone == start.zone).unwrap_or(usize::MAX);
            (start.started_at, ZoneId(zone))
        });
        let first_sent_at = self.first_sent_at(&message.request);
        message.unknown_attempt_at =
            progress.unknown_attempt().map(|attempt| attempt.earliest_start.unwrap_or(first_sent_at));
    }

    /// The class of a journaled message; `None` if it was removed from the settings.
    pub(super) fn class_of(&self, journaled: &JournaledMessage) -> Option<ClassId> {
        self.names.classes.iter().position(|class| *class == journaled.class).map(ClassId)
    }

    /// Builds the client's request from a journaled message. `may_have_run`: an attempt may have run at an endpoint.
    pub(super) fn rebuild_request(
        &self,
        journaled: JournaledMessage,
        class: ClassId,
        may_have_run: bool,
    ) -> Request {
        let tenants = &self.names.tenants;
        let tenant = journaled.tenant.and_then(|name| tenants.iter().position(|tenant| *tenant == name));
        Request {
            request_id: journaled.request_id,
            key: journaled.key,
            class,
            tenant: tenant.map(TenantId),
            destination: DestinationId(journaled.destination),
            deadline: journaled.deadline,
            body: journaled.body.into(),
            client_retry: !may_have_run,
            failed_over: may_have_run,
        }
    }
}

/// Whether a response may have ended the message, which is reported as failed then.
fn has_unconfirmed_end(progress: &Progress) -> bool {
    progress.may_have_ended && matches!(progress.report, None | Some(ReportedEnd::Failed))
}
