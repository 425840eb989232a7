//! Changes of the registry's entries: an endpoint goes out of service and back, or gets another id at the same address.

use cedarbridge_registry_standin::{FakeRegistry, Instance};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The step from one changed endpoint to the next, so that the two endpoints of a destination do not change together.
const STRIDE: usize = 7;
/// One in this number of changes replaces an endpoint.
const CHANGES_PER_REPLACEMENT: u64 = 5;

/// An endpoint in the registry.
struct Endpoint {
    address: SocketAddr,
    /// The number of times that it was replaced.
    generation: u64,
    is_out_of_service: bool,
}

/// Changes the endpoints in the registry.
pub struct EndpointChanges<'a> {
    registry: &'a FakeRegistry,
    endpoints: Vec<Endpoint>,
}

impl<'a> EndpointChanges<'a> {
    /// Registers an endpoint at each address, two for each destination.
    pub fn new(registry: &'a FakeRegistry, addresses: &[SocketAddr]) -> Self {
        let new =
            |address: &SocketAddr| Endpoint { address: *address, generation: 0, is_out_of_service: false };
        let changes = EndpointChanges { registry, endpoints: addresses.iter().map(new).collect() };
        (0..addresses.len()).for_each(|number| changes.register(number));
        changes
    }

    /// Makes `count` changes at an even rate, then brings all endpoints back into service.
    pub fn run(&mut self, count: u64, per_second: f64) {
        let started = Instant::now();
        for change in 0..count {
            self.change(change);
            let due = Duration::from_secs_f64((change + 1) as f64 / per_second);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
        for number in 0..self.endpoints.len() {
            if self.endpoints[number].is_out_of_service {
                self.registry.set_status(&self.id(number), "UP");
            }
        }
    }

    /// Makes the change with this number.
    fn change(&mut self, change: u64) {
        let number = (change as usize * STRIDE) % self.endpoints.len();
        let id = self.id(number);
        if self.endpoints[number].is_out_of_service {
            self.registry.set_status(&id, "UP");
            self.endpoints[number].is_out_of_service = false;
        } else if change % CHANGES_PER_REPLACEMENT == CHANGES_PER_REPLACEMENT - 1 {
            self.registry.delete(&id);
            self.endpoints[number].generation += 1;
            self.register(number);
        } else {
            self.registry.set_status(&id, ["OUT_OF_SERVICE", "DOWN"][change as usize % 2]);
            self.endpoints[number].is_out_of_service = true;
        }
    }

    fn register(&self, number: usize) {
        let destination = number as u64 / 2;
        let address = self.endpoints[number].address;
        self.registry.put(Instance::partner(&self.id(number), address, destination, "plain", "room", 1000.0));
    }

    /// The current id of an endpoint.
    fn id(&self, number: usize) -> String {
        format!("e{number}-{}", self.endpoints[number].generation)
    }
}
