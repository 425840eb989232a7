//! The clients' ids of messages that are not over yet.

use std::cell::RefCell;
use std::collections::HashMap;

/// The request ids in use, each for as long as its message is open or its delivery report pending.
#[derive(Debug, Default)]
pub struct RequestIds {
    uses: RefCell<HashMap<String, usize>>,
}

impl RequestIds {
    /// Whether a message of that id is not over yet.
    pub fn in_use(&self, request_id: &str) -> bool {
        self.uses.borrow().contains_key(request_id)
    }

    /// Keeps an id in use.
    pub fn acquire(&self, request_id: &str) {
        *self.uses.borrow_mut().entry(request_id.to_owned()).or_default() += 1;
    }

    /// Gives an id back, once for each time that it was acquired.
    pub fn release(&self, request_id: &str) {
        let mut uses = self.uses.borrow_mut();
        let Some(count) = uses.get_mut(request_id) else { return };
        *count -= 1;
        if *count == 0 {
            uses.remove(request_id);
        }
    }
}
