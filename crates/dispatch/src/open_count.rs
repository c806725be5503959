//! Count of the open connections to one instance.

use std::cell::Cell;
use std::rc::Rc;

/// Guard that counts a connection as open while it exists.
pub(crate) struct OpenCount(Rc<Cell<u32>>);

impl OpenCount {
    pub fn new(count: &Rc<Cell<u32>>) -> OpenCount {
        count.set(count.get() + 1);
        OpenCount(count.clone())
    }

    /// Whether this guard belongs to the given counter.
    pub fn counts_in(&self, count: &Rc<Cell<u32>>) -> bool {
        Rc::ptr_eq(&self.0, count)
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
