//! What the endpoint list actor shows other actors of the list.

use crate::net::runtime::latch::Latch;
use serde_json::Value;
use std::cell::{Cell, Ref, RefCell};

/// Whether there is a list, and what operators see of it. Written by the endpoint list actor alone.
#[derive(Default)]
pub struct EndpointListStatus {
    known: Cell<bool>,
    received: Latch,
    cordoned: RefCell<Vec<String>>,
    registry_view: RefCell<Option<Value>>,
}

impl EndpointListStatus {
    /// Whether the delivery policy has a list to decide by.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// The delivery policy has a list.
    pub fn set_known(&self) {
        self.known.set(true);
    }

    /// Whether this process has received a list from the platform, or has waited long enough for one.
    pub fn is_received(&self) -> bool {
        self.received.is_set()
    }

    /// Calls may go out.
    pub fn set_received(&self) {
        self.received.set();
    }

    /// Returns once [`is_received`](Self::is_received) holds.
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

    /// What counters show of the registry's part of the list, where there is a registry.
    pub fn registry_view(&self) -> Ref<'_, Option<Value>> {
        self.registry_view.borrow()
    }

    /// Replaces what counters show of the registry's part of the list.
    pub fn set_registry_view(&self, view: Option<Value>) {
        *self.registry_view.borrow_mut() = view;
    }
}
