//! Pool of idle connections to each instance. The most recently used connection is reused first, and
//! none is kept longer than the instance keeps it open.

use crate::connection::{Connection, OpenCount};
use crate::keep_alive::KeepAlive;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// Connections to one instance.
struct InstanceConnections {
    address: String,
    idle: Vec<Connection>,
    open_count: Rc<Cell<u32>>,
    /// As announced last.
    keep_alive: KeepAlive,
}

/// Whether an idle connection may be reused.
fn is_usable(connection: &Connection, keep_alive: KeepAlive, now: Instant) -> bool {
    let idle_time = now.saturating_duration_since(connection.last_used);
    keep_alive.allows_reuse_after(idle_time) && connection.is_idle()
}

/// Result of asking the pool for a connection.
pub(crate) enum Checkout {
    /// An idle connection to reuse.
    Idle(Connection),
    /// Permission to open a new connection.
    MayOpen(OpenCount),
    /// The instance accepts no further connections.
    Full,
}

#[derive(Default)]
pub(crate) struct Pool {
    instances: RefCell<BTreeMap<String, InstanceConnections>>,
}

impl Pool {
    /// Returns an idle connection that is still usable, or permission to open one.
    pub fn check_out(&self, now: Instant, id: &str, address: &str, max_connections: u32) -> Checkout {
        let mut instances = self.instances.borrow_mut();
        if instances.get(id).is_none_or(|instance| instance.address != address) {
            let instance = InstanceConnections {
                address: address.to_owned(),
                idle: Vec::new(),
                open_count: Rc::default(),
                keep_alive: KeepAlive::DEFAULT,
            };
            instances.insert(id.to_owned(), instance);
        }
        let Some(instance) = instances.get_mut(id) else { return Checkout::Full };
        while let Some(connection) = instance.idle.pop() {
            if is_usable(&connection, instance.keep_alive, now) {
                return Checkout::Idle(connection);
            }
        }
        if instance.open_count.get() >= max_connections.max(1) {
            Checkout::Full
        } else {
            Checkout::MayOpen(OpenCount::new(&instance.open_count))
        }
    }

    /// Returns permission to open a connection outside the pool.
    pub fn open_unpooled(&self) -> OpenCount {
        OpenCount::new(&Rc::default())
    }

    /// Returns a connection to the pool, unless its instance was forgotten in the meantime. `keep_alive` is `None` if
    /// there was no response.
    pub fn check_in(&self, now: Instant, id: &str, mut connection: Connection, keep_alive: Option<KeepAlive>) {
        let mut instances = self.instances.borrow_mut();
        let Some(instance) =
            instances.get_mut(id).filter(|instance| connection.open_count.counts_in(&instance.open_count))
        else {
            return;
        };
        if let Some(keep_alive) = keep_alive {
            instance.keep_alive = keep_alive;
        }
        connection.last_used = now;
        instance.idle.push(connection);
    }

    /// Closes the idle connections to an instance.
    pub fn forget(&self, id: &str) {
        self.instances.borrow_mut().remove(id);
    }

    /// Closes connections that have been idle for too long. Returns whether connections are left.
    pub fn sweep(&self, now: Instant) -> bool {
        let mut instances = self.instances.borrow_mut();
        instances.retain(|_, instance| {
            let keep_alive = instance.keep_alive;
            instance.idle.retain(|connection| is_usable(connection, keep_alive, now));
            instance.open_count.get() > 0
        });
        !instances.is_empty()
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
