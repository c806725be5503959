//! Pool of idle connections to each instance. The most recently used connection is reused first, and
//! none is kept longer than the instance keeps it open.

use crate::connection::{Connection, OpenCount};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Keep-alive time of an instance that announces none. Instances announce whole seconds, if there are any, so a time
/// that is not announced may be shorter than one second.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(900);
/// Safety margin before the instance closes an idle connection: the time a request may take to reach the instance.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);

/// Connections to one instance.
struct InstanceConnections {
    address: String,
    idle: Vec<Connection>,
    open_count: Rc<Cell<u32>>,
    keep_alive: Duration,
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

    /// Returns permission to open a connection outside the pool.
    pub fn open_unpooled(&self) -> OpenCount {
        OpenCount::new(&Rc::default())
    }

    /// Returns a connection to the pool, unless its instance was forgotten in the meantime. `keep_alive` is `None` if
    /// there was no response, and `Some(None)` if the response announced no keep-alive time.
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

    /// Closes the idle connections to an instance.
    pub fn forget(&self, id: &str) {
        self.instances.borrow_mut().remove(id);
    }

    /// Closes connections that have been idle for too long. Returns whether connections are left.
    pub fn sweep(&self, now: Instant) -> bool {
        let mut instances = self.instances.borrow_mut();
        instances.retain(|_, instance| {
            instance.idle.retain(|connection| now < connection.last_used + instance.keep_alive && connection.is_idle());
            instance.open_count.get() > 0
        });
        !instances.is_empty()
    }
}
