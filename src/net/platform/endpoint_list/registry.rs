//! The registry as a source of the list: its poller, and its last view, which is persisted on disk.

use super::publish::UpdateKind;
use super::{identified_by_address, EndpointListActor, REGISTRY_SOURCE};
use crate::membership::{RegistrySettings, SourceUpdate};
use crate::net::platform::eureka::{self, snapshot::RegistrySnapshot};
use crate::net::runtime::clock::wall_clock_now;
use crate::Micros;
use async_channel::Sender;
use async_executor::Task;
use serde_json::json;
use slog::warn;
use std::sync::Arc;

/// The shortest time between two writes of the registry's view.
const PERSIST_INTERVAL_US: Micros = 2_000_000;

/// The registry as a source of the list. Dropping it stops the polls.
pub(super) struct RegistrySource {
    settings: Arc<RegistrySettings>,
    _poller: Task<()>,
    snapshot: RegistrySnapshot,
    view: ServedView,
    /// When the view is persisted next; `None` if it has not changed since it was last persisted.
    persist_at: Option<Micros>,
}

/// Which view of the registry the list uses.
enum ServedView {
    /// None yet. The persisted view is used if the registry does not answer in time.
    Awaited {
        /// When the persisted view is read.
        read_snapshot_at: Micros,
    },
    /// The view that an earlier process persisted.
    Persisted,
    /// The answers of the registry, if there are any.
    Live,
}

impl RegistrySource {
    /// When the view must be read or persisted next; `None` if neither is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.read_snapshot_at().into_iter().chain(self.persist_at).min()
    }

    fn read_snapshot_at(&self) -> Option<Micros> {
        match self.view {
            ServedView::Awaited { read_snapshot_at } => Some(read_snapshot_at),
            ServedView::Persisted | ServedView::Live => None,
        }
    }
}

impl EndpointListActor {
    /// Starts to poll the registry in the site file if that has changed. The entries of the previous registry stay until the
    /// new one answers. If the site file has no registry any more, its entries are removed.
    pub(super) async fn apply_registry_settings(&mut self) {
        let configured = self.context.config().registry.clone();
        if self.registry.as_ref().map(|source| &source.settings) == configured.as_ref() {
            return;
        }
        match configured {
            Some(settings) => self.start_registry(settings),
            None => self.remove_registry().await,
        }
    }

    fn start_registry(&mut self, settings: Arc<RegistrySettings>) {
        self.membership.set_policy(REGISTRY_SOURCE, settings.source_policy());
        let poller = eureka::run(self.context.clone(), settings.clone(), self.own_mailbox.clone());
        let view = match self.membership.stats(REGISTRY_SOURCE).last_update_at {
            Some(_) => ServedView::Live,
            None => ServedView::Awaited {
                read_snapshot_at: self.context.clock.now() + settings.use_snapshot_after,
            },
        };
        self.registry = Some(RegistrySource {
            snapshot: RegistrySnapshot::new(&self.context.config().state_folder),
            _poller: self.context.executor.spawn(poller),
            settings,
            view,
            persist_at: None,
        });
        self.update_registry_status();
    }

    async fn remove_registry(&mut self) {
        self.membership.set_policy(REGISTRY_SOURCE, identified_by_address());
        let empty_list = SourceUpdate::Complete { version: None, listings: Vec::new() };
        let changes = self.membership.apply(self.context.clock.now(), REGISTRY_SOURCE, empty_list);
        self.publish(UpdateKind::Patch, changes).await;
        self.registry = None;
        self.context.endpoint_list.set_registry_view(None);
    }

    /// Applies an answer of the registry, then replies to the poller whether any part of the view is in doubt.
    pub(super) async fn apply_registry_update(
        &mut self,
        update: SourceUpdate,
        received_at: Micros,
        in_doubt_reply: &Sender<bool>,
    ) {
        let changes = self.membership.apply(received_at, REGISTRY_SOURCE, update);
        if let Some(source) = &mut self.registry {
            if !changes.is_empty() {
                source.persist_at.get_or_insert(received_at + PERSIST_INTERVAL_US);
            }
            source.view = ServedView::Live;
        }
        // An empty registry is a valid list as well: if there is no other list, its answer is published although it changes
        // nothing.
        if !changes.is_empty() || !self.context.endpoint_list.is_known() {
            self.publish(UpdateKind::Patch, changes).await;
        }
        // The receiver is gone if a reload has replaced the poller meanwhile.
        let _ = in_doubt_reply.try_send(self.membership.needs_complete_poll(REGISTRY_SOURCE));
        self.update_registry_status();
    }

    /// Reads the persisted view, or persists the current one, if that is due.
    pub(super) async fn handle_registry_due(&mut self, now: Micros) {
        let Some(source) = &mut self.registry else { return };
        if source.read_snapshot_at().is_some_and(|at| at <= now) {
            return self.use_persisted_view(now).await;
        }
        if source.persist_at.take_if(|at| *at <= now).is_some() {
            self.persist_registry_view();
        }
    }

    /// Uses the persisted view, as the registry has not answered since the start.
    async fn use_persisted_view(&mut self, now: Micros) {
        let Some(source) = &mut self.registry else { return };
        source.view = ServedView::Live;
        let saved = match source.snapshot.read() {
            Ok(Some(saved)) => saved,
            Ok(None) => {
                warn!(self.context.log, "the registry does not answer, and there is no persisted view");
                return;
            }
            Err(error) => {
                warn!(self.context.log, "the registry does not answer, and the persisted view is damaged";
                    "error" => %error);
                return;
            }
        };
        source.view = ServedView::Persisted;
        let age_ms = wall_clock_now().saturating_sub(saved.written_at) / 1000;
        warn!(self.context.log, "the registry does not answer, using the persisted view";
            "entries" => saved.listings.len(), "age_ms" => age_ms);
        let changes = self.membership.restore(now, REGISTRY_SOURCE, saved.listings);
        self.publish(UpdateKind::Patch, changes).await;
        self.update_registry_status();
    }

    fn persist_registry_view(&self) {
        let Some(source) = &self.registry else { return };
        let folder_limit = self.context.config().max_disk_bytes;
        match source.snapshot.write(
            wall_clock_now(),
            self.membership.source_listings(REGISTRY_SOURCE),
            folder_limit,
        ) {
            Ok(Some(_)) => {}
            Ok(None) => warn!(self.context.log, "the registry's view is too large to be persisted"),
            Err(error) => warn!(self.context.log, "the registry's view is not persisted"; "error" => %error),
        }
    }

    /// Updates the report of the registry's part of the list, which operators see in the counters.
    fn update_registry_status(&self) {
        let stats = self.membership.stats(REGISTRY_SOURCE);
        let uses_persisted =
            self.registry.as_ref().is_some_and(|source| matches!(source.view, ServedView::Persisted));
        let view = json!({
            "entries": self.membership.source_listings(REGISTRY_SOURCE).count(),
            "stale_entries": stats.stale_entries, "flaps": stats.flaps,
            "held_down": stats.held_down, "shrinks_not_believed": stats.doubted_updates, "heard": stats.last_update_at,
            "serves_kept_view": uses_persisted,
        });
        self.context.endpoint_list.set_registry_view(Some(view));
    }
}
