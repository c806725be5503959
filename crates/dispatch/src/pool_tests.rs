//! Pooled connections over real sockets, with the time given by the test.

use super::{Checkout, InstanceAddress, Pool};
use crate::connection::Connection;
use crate::keep_alive::KeepAlive;
use crate::open_count::OpenCount;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

const INSTANCE: &str = "i-1";
const MAX_CONNECTIONS: u32 = 4;

/// A pool with the address of an instance that accepts connections.
struct TestPool {
    pool: Pool,
    address: String,
    listener: TcpListener,
}

impl TestPool {
    async fn new() -> TestPool {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        TestPool { pool: Pool::default(), address, listener }
    }

    fn check_out(&self, now: Instant) -> Checkout {
        let instance = InstanceAddress { id: INSTANCE, address: &self.address, max_connections: MAX_CONNECTIONS };
        self.pool.check_out(now, &instance, None)
    }

    /// Opens a connection as the pool permits it; returns it with the instance's end.
    async fn open(&self, now: Instant) -> (Connection, TcpStream) {
        let Checkout::MayOpen(open_count) = self.check_out(now) else { panic!("a connection may be opened") };
        (self.connect(open_count).await, self.listener.accept().await.expect("a connection").0)
    }

    async fn connect(&self, open_count: OpenCount) -> Connection {
        Connection::open(&self.address, open_count).await.expect("a connection")
    }
}

// Guards against the end of a router: the sweep added a keep-alive time beyond what a clock can hold to a moment.
#[test]
fn a_sweep_keeps_a_connection_with_a_huge_keep_alive_time_for_a_bounded_time() {
    kernel::local(async {
        let (now, test_pool) = (Instant::now(), TestPool::new().await);
        let (connection, _instance_end) = test_pool.open(now).await;
        let keep_alive = KeepAlive::parse("timeout=9223372036854775807");
        test_pool.pool.check_in(now, INSTANCE, connection, keep_alive);
        assert!(test_pool.pool.sweep(now + Duration::from_secs(1)));
        assert!(!test_pool.pool.sweep(now + Duration::from_secs(3600)), "it is closed in the end");
    });
}
