//! The registry as a source of the list: its poller, and its last view on the disk.

use super::publish::UpdateKind;
use super::{identified_by_address, EndpointListActor, REGISTRY};
use crate::membership::{RegistrySettings, SourceUpdate};
use crate::net::platform::eureka::{self, snapshot::RegistrySnapshot};
use crate::net::runtime::clock::wall_clock_now;
use crate::Micros;
use async_channel::Sender;
use async_executor::Task;
use serde_json::json;
use slog::warn;
use std::sync::Arc;

/// The registry's view is persisted no more often than this.
const PERSIST_INTERVAL_US: Micros = 2_000_000;

/// The registry as a source; dropped, it is polled no more.
pub(super) struct RegistrySource {
    settings: Arc<RegistrySettings>,
    _poller: Task<()>,
    snapshot: RegistrySnapshot,
    view: ServedView,
    /// When the view is to be persisted next.
    persist_at: Option<Micros>,
}

/// Which view of the registry is served.
enum ServedView {
    /// None yet: if nothing comes until then, the persisted one.
    Awaited {
        /// When the persisted one is read.
        read_snapshot_at: Micros,
    },
    /// The one that an earlier process persisted.
    Persisted,
    /// What the registry has sent, if anything.
    Live,
}

impl RegistrySource {
    /// When something is due by time alone, if anything is.
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
    /// Polls the registry that the site file names; what another has sent stands until this one answers. With none
    /// named any more its entries are removed.
    pub(super) async fn apply_registry_settings(&mut self) {
        let wanted = self.context.config().registry.clone();
        if self.registry.as_ref().map(|source| &source.settings) == wanted.as_ref() {
            return;
        }
        match wanted {
            Some(settings) => self.start_registry(settings),
            None => self.remove_registry().await,
        }
    }

    fn start_registry(&mut self, settings: Arc<RegistrySettings>) {
        self.membership.set_policy(REGISTRY, settings.source_policy());
        let polling = eureka::run(self.context.clone(), settings.clone(), self.own.clone());
        let view = match self.membership.stats(REGISTRY).last_update_at {
            Some(_) => ServedView::Live,
            None => ServedView::Awaited {
                read_snapshot_at: self.context.clock.now() + settings.use_snapshot_after,
            },
        };
        self.registry = Some(RegistrySource {
            snapshot: RegistrySnapshot::new(&self.context.config().state_folder),
            _poller: self.context.executor.spawn(polling),
            settings,
            view,
            persist_at: None,
        });
        self.show_registry();
    }

    async fn remove_registry(&mut self) {
        self.membership.set_policy(REGISTRY, identified_by_address());
        let nothing = SourceUpdate::Complete { version: None, listings: Vec::new() };
        let changes = self.membership.apply(self.context.clock.now(), REGISTRY, nothing);
        self.publish(UpdateKind::Patch, changes).await;
        self.registry = None;
        self.context.endpoint_list.set_registry_view(None);
    }

    /// Applies an answer of the registry, then replies whether something of it is in doubt.
    pub(super) async fn take_registry_update(
        &mut self,
        update: SourceUpdate,
        received_at: Micros,
        in_doubt: &Sender<bool>,
    ) {
        let changes = self.membership.apply(received_at, REGISTRY, update);
        if let Some(source) = &mut self.registry {
            if !changes.is_empty() {
                source.persist_at.get_or_insert(received_at + PERSIST_INTERVAL_US);
            }
            source.view = ServedView::Live;
        }
        // A registry without entries is a list to go by as well; after that only changes are published.
        if !changes.is_empty() || !self.context.endpoint_list.is_known() {
            self.publish(UpdateKind::Patch, changes).await;
        }
        // The poller may have been replaced meanwhile.
        let _ = in_doubt.try_send(self.membership.needs_complete_poll(REGISTRY));
        self.show_registry();
    }

    /// Serves or persists the registry's view if that is due.
    pub(super) async fn registry_due(&mut self, now: Micros) {
        let Some(source) = &mut self.registry else { return };
        if source.read_snapshot_at().is_some_and(|at| at <= now) {
            return self.serve_persisted_view(now).await;
        }
        if source.persist_at.take_if(|at| *at <= now).is_some() {
            self.persist_registry_view();
        }
    }

    async fn serve_persisted_view(&mut self, now: Micros) {
        let Some(source) = &mut self.registry else { return };
        source.view = ServedView::Live;
        let saved = match source.snapshot.read() {
            Ok(Some(saved)) => saved,
            Ok(None) => {
                warn!(self.context.log, "the registry is silent, and no view of it was kept");
                return;
            }
            Err(error) => {
                warn!(self.context.log, "the registry is silent, its last view is damaged"; "error" => %error);
                return;
            }
        };
        source.view = ServedView::Persisted;
        let age_ms = wall_clock_now().saturating_sub(saved.written_at) / 1000;
        warn!(self.context.log, "the registry is silent, its last view is served";
            "entries" => saved.listings.len(), "age_ms" => age_ms);
        let changes = self.membership.restore(now, REGISTRY, saved.listings);
        self.publish(UpdateKind::Patch, changes).await;
        self.show_registry();
    }

    fn persist_registry_view(&self) {
        let Some(source) = &self.registry else { return };
        let folder_limit = self.context.config().max_disk_bytes;
        match source.snapshot.write(wall_clock_now(), self.membership.source_listings(REGISTRY), folder_limit)
        {
            Ok(Some(_)) => {}
            Ok(None) => warn!(self.context.log, "the registry's view is too large to be persisted"),
            Err(error) => warn!(self.context.log, "the registry's view is not persisted"; "error" => %error),
        }
    }

    /// Shows operators what of the list comes from the registry.
    fn show_registry(&self) {
        let counts = self.membership.stats(REGISTRY);
        let serves_persisted =
            self.registry.as_ref().is_some_and(|source| matches!(source.view, ServedView::Persisted));
        let view = json!({
            "entries": self.membership.source_listings(REGISTRY).count(), "stale_entries": counts.stale_entries, "flaps": counts.flaps,
            "held_down": counts.held_down, "shrinks_not_believed": counts.doubted_updates, "heard": counts.last_update_at,
            "serves_kept_view": serves_persisted,
        });
        self.context.endpoint_list.set_registry_view(Some(view));
    }
}
