//! Connections that are given up soon after the other end has fallen silent: behind a cut nothing comes
//! back, and what was sent is sent again by the system at ever longer pauses, so that a connection which
//! outlives a cut stays dead for as long again. It is made anew instead.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

const FIRST_PROBE: Duration = Duration::from_secs(1);
const PROBES: Duration = Duration::from_secs(1);

/// Ends the connection once something sent was not received for `patience`, and probes a quiet one.
pub fn set_silence_timeout(stream: &TcpStream, patience: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(patience))?;
    let probes = TcpKeepalive::new().with_time(FIRST_PROBE).with_interval(PROBES).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
