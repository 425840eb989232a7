//! The request ids that are in use, by which duplicates of a message are rejected.

use std::cell::RefCell;
use std::collections::HashMap;

/// The request ids in use. An id is in use as long as its message is open or its delivery report is pending.
#[derive(Debug, Default)]
pub struct RequestIds {
    use_counts: RefCell<HashMap<String, usize>>,
}

impl RequestIds {
    /// Whether a message with this id is open or its delivery report pending.
    pub fn in_use(&self, request_id: &str) -> bool {
        self.use_counts.borrow().contains_key(request_id)
    }

    /// Marks an id as in use. It can be acquired several times at once.
    pub fn acquire(&self, request_id: &str) {
        *self.use_counts.borrow_mut().entry(request_id.to_owned()).or_default() += 1;
    }

    /// Releases an id. It is in use until it was released as often as it was acquired.
    pub fn release(&self, request_id: &str) {
        let mut use_counts = self.use_counts.borrow_mut();
        let Some(count) = use_counts.get_mut(request_id) else { return };
        *count -= 1;
        if *count == 0 {
            use_counts.remove(request_id);
        }
    }
}
