//! Ends TCP connections soon after the other end has become silent. During a network partition the kernel
//! retransmits at ever longer intervals, so a connection that survives the partition stays unusable for about
//! as long again after it. A new connection is opened instead.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Ends the connection once sent data has been unacknowledged for `timeout`, and sends keepalive probes while it
/// is idle.
pub fn set_silence_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL).with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
