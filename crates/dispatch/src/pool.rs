//! Pool of idle connections to each instance. The most recently used connection is reused first, none carries the same
//! request twice, and none is kept longer than the instance keeps it open.

use crate::connection::Connection;
use crate::keep_alive::KeepAlive;
use crate::open_count::OpenCount;
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

impl InstanceConnections {
    fn new(address: &str) -> InstanceConnections {
        InstanceConnections {
            address: address.to_owned(),
            idle: Vec::new(),
            open_count: Rc::default(),
            keep_alive: KeepAlive::DEFAULT,
        }
    }

    /// Takes the most recently used idle connection that is usable and has not carried the request. Closes those that
    /// it finds unusable.
    fn take_idle(&mut self, now: Instant, request_id: Option<&[u8]>) -> Option<Connection> {
        for position in (0..self.idle.len()).rev() {
            if request_id.is_some_and(|id| self.idle[position].has_carried(id)) {
                continue;
            }
            let connection = self.idle.remove(position);
            if is_usable(&connection, self.keep_alive, now) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns permission to open a connection. Closes the oldest idle ones if the instance would accept no other.
    fn may_open(&mut self, max_connections: u32) -> Option<OpenCount> {
        while self.open_count.get() >= max_connections.max(1) {
            if self.idle.is_empty() {
                return None;
            }
            self.idle.remove(0);
        }
        Some(OpenCount::new(&self.open_count))
    }
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

/// An instance, as an order names it.
pub(crate) struct InstanceAddress<'a> {
    /// Id of the instance at its provider.
    pub id: &'a str,
    /// Address where the instance accepts requests.
    pub address: &'a str,
    /// Maximum number of connections that the instance accepts.
    pub max_connections: u32,
}

#[derive(Default)]
pub(crate) struct Pool {
    instances: RefCell<BTreeMap<String, InstanceConnections>>,
}

impl Pool {
    /// Returns an idle connection to an instance that is still usable and has not carried the request, or permission to
    /// open one.
    pub fn check_out(&self, now: Instant, instance: &InstanceAddress, request_id: Option<&[u8]>) -> Checkout {
        let mut instances = self.instances.borrow_mut();
        if instances.get(instance.id).is_none_or(|known| known.address != instance.address) {
            instances.insert(instance.id.to_owned(), InstanceConnections::new(instance.address));
        }
        let Some(connections) = instances.get_mut(instance.id) else { return Checkout::Full };
        if let Some(connection) = connections.take_idle(now, request_id) {
            return Checkout::Idle(connection);
        }
        connections.may_open(instance.max_connections).map_or(Checkout::Full, Checkout::MayOpen)
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
