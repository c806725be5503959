//! The connections kept to each instance: the one used last goes first, and none is kept longer
//! than the instance keeps it.

use crate::connection::{Connection, OpenCount};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An instance tells whole seconds, if there are any: when it tells none, less than one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(900);
/// What a request may take on its way to an instance that is about to close.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);

struct InstanceConnections {
    address: String,
    idle: Vec<Connection>,
    open_count: Rc<Cell<u32>>,
    keep_alive: Duration,
}

pub(crate) enum Checkout {
    Idle(Connection),
    MayOpen(OpenCount),
    Full,
}

#[derive(Default)]
pub(crate) struct Pool {
    instances: RefCell<BTreeMap<String, InstanceConnections>>,
}

impl Pool {
    /// A kept connection that is still good, or leave to open one.
    pub fn check_out(&self, now: Instant, id: &str, address: &str, max_connections: u32) -> Checkout {
        let mut instances = self.instances.borrow_mut();
        if instances.get(id).is_none_or(|instance| instance.address != address) {
            let instance = InstanceConnections {
                address: address.to_owned(),
                idle: Vec::new(),
                open_count: Rc::default(),
                keep_alive: DEFAULT_KEEP_ALIVE,
            };
            instances.insert(id.to_owned(), instance);
        }
        let Some(instance) = instances.get_mut(id) else { return Checkout::Full };
        while let Some(connection) = instance.idle.pop() {
            if now < connection.last_used + instance.keep_alive && connection.is_idle() {
                return Checkout::Idle(connection);
            }
        }
        if instance.open_count.get() >= max_connections.max(1) {
            Checkout::Full
        } else {
            Checkout::MayOpen(OpenCount::new(&instance.open_count))
        }
    }

    /// Leave to open a connection apart from those that are kept.
    pub fn open_unpooled(&self) -> OpenCount {
        OpenCount::new(&Rc::default())
    }

    /// Keeps a connection, unless its instance was forgotten meanwhile.
    pub fn check_in(&self, now: Instant, id: &str, mut connection: Connection, keep_alive: Option<Option<Duration>>) {
        let mut instances = self.instances.borrow_mut();
        let Some(instance) =
            instances.get_mut(id).filter(|instance| connection.open_count.counts_in(&instance.open_count))
        else {
            return;
        };
        match keep_alive {
            Some(Some(keep_alive)) => instance.keep_alive = keep_alive.saturating_sub(CLOSE_MARGIN.min(keep_alive / 4)),
            Some(None) => instance.keep_alive = DEFAULT_KEEP_ALIVE,
            None => {}
        }
        connection.last_used = now;
        instance.idle.push(connection);
    }

    pub fn forget(&self, id: &str) {
        self.instances.borrow_mut().remove(id);
    }

    /// Closes what has been idle for too long; whether any is left.
    pub fn sweep(&self, now: Instant) -> bool {
        let mut instances = self.instances.borrow_mut();
        instances.retain(|_, instance| {
            instance.idle.retain(|connection| now < connection.last_used + instance.keep_alive && connection.is_idle());
            instance.open_count.get() > 0
        });
        !instances.is_empty()
    }
}
