//! A set for a few items. Nearly all addresses of a list have a single entry, for which a tree would allocate a node of many.

/// A sorted set of a few items, which takes no more than they do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SmallSet<T>(Vec<T>);

impl<T> Default for SmallSet<T> {
    fn default() -> Self {
        SmallSet(Vec::new())
    }
}

impl<T: Ord> SmallSet<T> {
    /// Adds an item, unless it is in the set.
    pub fn insert(&mut self, item: T) {
        if let Err(index) = self.0.binary_search(&item) {
            self.0.reserve_exact(1);
            self.0.insert(index, item);
        }
    }

    /// Removes an item, if it is in the set.
    pub fn remove(&mut self, item: &T) {
        if let Ok(index) = self.0.binary_search(item) {
            self.0.remove(index);
        }
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The items in their order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.0.iter()
    }
}
