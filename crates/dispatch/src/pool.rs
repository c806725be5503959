//! The connections kept to each instance: the one used last goes first, and none is kept longer
//! than the instance keeps it.

use crate::connection::{Connection, Open};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An instance tells whole seconds, if there are any: when it tells none, less than one.
const UNTOLD: Duration = Duration::from_millis(900);
/// What a request may take on its way to an instance that is about to close.
const AHEAD: Duration = Duration::from_millis(300);

struct Slot {
    address: String,
    idle: Vec<Connection>,
    open: Rc<Cell<u32>>,
    keep: Duration,
}

pub(crate) enum Taken {
    Kept(Connection),
    ToOpen(Open),
    Full,
}

#[derive(Default)]
pub(crate) struct Pool {
    slots: RefCell<BTreeMap<String, Slot>>,
}

impl Pool {
    /// A kept connection that is still good, or leave to open one.
    pub fn take(&self, now: Instant, id: &str, address: &str, most: u32) -> Taken {
        let mut slots = self.slots.borrow_mut();
        if slots.get(id).is_none_or(|slot| slot.address != address) {
            let slot = Slot { address: address.to_owned(), idle: Vec::new(), open: Rc::default(), keep: UNTOLD };
            slots.insert(id.to_owned(), slot);
        }
        let Some(slot) = slots.get_mut(id) else { return Taken::Full };
        while let Some(kept) = slot.idle.pop() {
            if now < kept.used + slot.keep && kept.is_quiet() {
                return Taken::Kept(kept);
            }
        }
        if slot.open.get() >= most.max(1) { Taken::Full } else { Taken::ToOpen(Open::new(&slot.open)) }
    }

    /// Leave to open a connection apart from those that are kept.
    pub fn open_apart(&self) -> Open {
        Open::new(&Rc::default())
    }

    /// Keeps a connection, unless its instance was forgotten meanwhile.
    pub fn put(&self, now: Instant, id: &str, mut connection: Connection, detail: Option<Option<Duration>>) {
        let mut slots = self.slots.borrow_mut();
        let Some(slot) = slots.get_mut(id).filter(|slot| connection.open.is_of(&slot.open)) else { return };
        match detail {
            Some(Some(keep)) => slot.keep = keep.saturating_sub(AHEAD.min(keep / 4)),
            Some(None) => slot.keep = UNTOLD,
            None => {}
        }
        connection.used = now;
        slot.idle.push(connection);
    }

    pub fn forget(&self, id: &str) {
        self.slots.borrow_mut().remove(id);
    }

    /// Closes what has been idle for too long; whether any is left.
    pub fn sweep(&self, now: Instant) -> bool {
        let mut slots = self.slots.borrow_mut();
        slots.retain(|_, slot| {
            slot.idle.retain(|kept| now < kept.used + slot.keep && kept.is_quiet());
            slot.open.get() > 0
        });
        !slots.is_empty()
    }
}
