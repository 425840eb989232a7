//! The state of the endpoint list that the endpoint list actor shares with the other actors.

use crate::net::runtime::latch::Latch;
use serde_json::Value;
use std::cell::{Cell, Ref, RefCell};

/// Whether there is an endpoint list, and the parts of it that operators see. Only the endpoint list actor writes it.
#[derive(Default)]
pub struct EndpointListStatus {
    known: Cell<bool>,
    /// Set once calls may be sent.
    calls_allowed: Latch,
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

    /// Whether calls may be sent: this process has a current list, or waits for one no longer.
    pub fn are_calls_allowed(&self) -> bool {
        self.calls_allowed.is_set()
    }

    /// Allows calls to be sent from now on.
    pub fn allow_calls(&self) {
        self.calls_allowed.set();
    }

    /// Returns once [`are_calls_allowed`](Self::are_calls_allowed) is true.
    pub async fn until_calls_allowed(&self) {
        self.calls_allowed.wait().await;
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
