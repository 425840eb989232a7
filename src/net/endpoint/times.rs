//! How long all endpoints together take for their responses.

use crate::invariants::ResponseTimes;
use crate::net::messages::ResponseTime;
use std::cell::Cell;

/// The times of the responses of all endpoints. The endpoints' actors record them; each uses them while it knows too few of
/// its own.
#[derive(Default)]
pub struct SharedResponseTimes(Cell<ResponseTimes>);

impl SharedResponseTimes {
    /// Adds the time of a response.
    pub(super) fn record(&self, response: ResponseTime) {
        let mut times = self.0.get();
        times.record(response.status, response.elapsed);
        self.0.set(times);
    }

    /// The times so far.
    pub(super) fn get(&self) -> ResponseTimes {
        self.0.get()
    }
}
