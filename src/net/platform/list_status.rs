//! The state of the endpoint list that the endpoint list actor shares with the other actors.

use crate::net::runtime::latch::Latch;
use serde_json::Value;
use std::cell::{Cell, Ref, RefCell};

/// Whether there is an endpoint list, and the parts of it that operators see. Only the endpoint list actor writes it.
#[derive(Default)]
pub struct EndpointListStatus {
    known: Cell<bool>,
    received: Latch,
    cordoned: RefCell<Vec<String>>,
    registry_view: RefCell<Option<Value>>,
}

impl EndpointListStatus {
    /// Whether the delivery policy has been sent a list, which may be an old one.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Records that the delivery policy has been sent a list.
    pub fn set_known(&self) {
        self.known.set(true);
    }

    /// Whether calls may be sent: this process has received a list from the platform, or has waited long enough for one.
    pub fn is_received(&self) -> bool {
        self.received.is_set()
    }

    /// Allows calls to be sent.
    pub fn set_received(&self) {
        self.received.set();
    }

    /// Returns once [`is_received`](Self::is_received) is true.
    pub async fn until_received(&self) {
        self.received.wait().await;
    }

    /// The ids of the endpoints that operators have cordoned.
    pub fn cordoned(&self) -> Vec<String> {
        self.cordoned.borrow().clone()
    }

    /// Replaces the ids of cordoned endpoints.
    pub fn set_cordoned(&self, ids: Vec<String>) {
        *self.cordoned.borrow_mut() = ids;
    }

    /// The registry's part of the list, as the counters report it; `None` without a registry.
    pub fn registry_view(&self) -> Ref<'_, Option<Value>> {
        self.registry_view.borrow()
    }

    /// Replaces the report of the registry's part of the list.
    pub fn set_registry_view(&self, view: Option<Value>) {
        *self.registry_view.borrow_mut() = view;
    }
}
