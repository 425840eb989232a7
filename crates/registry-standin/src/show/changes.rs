//! Changes of the registry's entries: out of service and back, or replaced by another id at the same address.

use cedarbridge_registry_standin::{FakeRegistry, Instance};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Endpoints are taken in steps of so many, so that neighbours do not change together.
const STRIDE: usize = 7;
/// One change in so many replaces an endpoint.
const REPLACEMENT_INTERVAL: u64 = 5;

struct Endpoint {
    address: SocketAddr,
    generation: u64,
    is_out_of_service: bool,
}

/// The endpoints in the registry.
pub struct EndpointChanges<'a> {
    registry: &'a FakeRegistry,
    endpoints: Vec<Endpoint>,
}

impl<'a> EndpointChanges<'a> {
    /// Registers an endpoint at each address, two for each partner.
    pub fn new(registry: &'a FakeRegistry, addresses: &[SocketAddr]) -> Self {
        let new =
            |address: &SocketAddr| Endpoint { address: *address, generation: 0, is_out_of_service: false };
        let it = EndpointChanges { registry, endpoints: addresses.iter().map(new).collect() };
        (0..addresses.len()).for_each(|number| it.register(number));
        it
    }

    /// Makes so many changes at an even rate, then brings all endpoints back.
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

    fn change(&mut self, change: u64) {
        let number = (change as usize * STRIDE) % self.endpoints.len();
        let id = self.id(number);
        if self.endpoints[number].is_out_of_service {
            self.registry.set_status(&id, "UP");
            self.endpoints[number].is_out_of_service = false;
        } else if change % REPLACEMENT_INTERVAL == REPLACEMENT_INTERVAL - 1 {
            self.registry.delete(&id);
            self.endpoints[number].generation += 1;
            self.register(number);
        } else {
            self.registry.set_status(&id, ["OUT_OF_SERVICE", "DOWN"][change as usize % 2]);
            self.endpoints[number].is_out_of_service = true;
        }
    }

    fn register(&self, number: usize) {
        let partner = number as u64 / 2;
        let address = self.endpoints[number].address;
        self.registry.put(Instance::partner(&self.id(number), address, partner, "plain", "room", 1000.0));
    }

    fn id(&self, number: usize) -> String {
        format!("e{number}-{}", self.endpoints[number].generation)
    }
}
