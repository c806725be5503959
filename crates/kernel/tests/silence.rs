//! The silence timeout is set as a socket option of the connection.

use kernel::set_silence_timeout;
use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

#[test]
fn the_silence_timeout_is_set_as_the_tcp_user_timeout() {
    kernel::local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
        let stream = TcpStream::connect(listener.local_addr().expect("it is bound")).await.expect("it listens");
        let timeout = Duration::from_millis(1300);
        set_silence_timeout(&stream, timeout).expect("the options exist");
        let socket = SockRef::from(&stream);
        assert_eq!(socket.tcp_user_timeout().expect("it was set"), Some(timeout));
        assert!(socket.keepalive().expect("it was set"));
    });
}
