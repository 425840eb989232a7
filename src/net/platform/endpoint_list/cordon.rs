//! Cordons: operators take endpoints out of service and put them back.

use super::publish::UpdateKind;
use super::EndpointListActor;
use crate::net::messages::AdminError;
use crate::net::operator::cordons::CordonFile;
use async_channel::Sender;
use async_io::Timer;
use slog::{info, warn};
use std::time::Duration;

/// How often reading the cordon file is retried.
const MAX_READ_RETRIES: u32 = 20;
/// The pause before each retry.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(50);

impl EndpointListActor {
    /// Cordons an endpoint if `cordon` is true, otherwise ends its cordon. Replies once the cordon is persisted and written
    /// to the endpoint table, which is checked before the first byte of each call.
    pub(super) async fn cordon(&mut self, id: &str, cordon: bool, reply: &Sender<Result<(), AdminError>>) {
        let now = self.context.clock.now();
        let was_cordoned = self.membership.cordoned().any(|cordoned| cordoned == id);
        let changes = match cordon {
            true => self.membership.cordon(now, id),
            false => self.membership.uncordon(now, id),
        };
        let Some(changes) = changes else {
            // Here and below, the receiver is gone if the operator's request has been cancelled.
            let _ = reply.try_send(Err(AdminError::UnknownEndpoint));
            return;
        };
        if was_cordoned != cordon {
            if let Err(error) = self.cordons_file().write(self.membership.cordoned()) {
                warn!(self.context.log, "cordon not persisted"; "id" => id, "out" => cordon, "error" => %error);
                // The change is undone: a cordon that would be lost with the process must not be confirmed.
                match cordon {
                    true => drop(self.membership.uncordon(now, id)),
                    false => self.membership.restore_cordons(now, [id.to_owned()]),
                }
                let _ = reply.try_send(Err(AdminError::NotPersisted(error.to_string())));
                return;
            }
        }
        info!(self.context.log, "cordon"; "id" => id, "out" => cordon, "entries" => changes.len());
        self.update_cordon_status();
        for change in &changes {
            self.write_to_table(change);
        }
        let _ = reply.try_send(Ok(()));
        if !changes.is_empty() {
            self.publish(UpdateKind::Patch, changes).await;
        }
    }

    /// Restores the cordons that an earlier process persisted.
    pub async fn restore_cordons(&mut self) {
        let file = self.cordons_file();
        let mut cordoned = file.read();
        // A passing read error must not put cordoned endpoints back into service.
        for _ in 0..MAX_READ_RETRIES {
            let Err(error) = &cordoned else { break };
            warn!(self.context.log, "cordon file cannot be read"; "error" => %error);
            Timer::after(READ_RETRY_PAUSE).await;
            cordoned = file.read();
        }
        let ids = cordoned.unwrap_or_default();
        self.membership.restore_cordons(self.context.clock.now(), ids);
        self.update_cordon_status();
    }

    fn cordons_file(&self) -> CordonFile {
        CordonFile::new(&self.context.config().state_folder)
    }

    fn update_cordon_status(&self) {
        let ids = self.membership.cordoned().map(str::to_owned).collect();
        self.context.endpoint_list.set_cordoned(ids);
    }
}
