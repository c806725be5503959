//! The silence timeout is set as a socket option of the connection.

use kernel::set_silence_timeout;
use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

#[test]
fn a_connection_is_given_up_after_the_patience_it_was_given() {
    kernel::local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
        let stream = TcpStream::connect(listener.local_addr().expect("it is bound")).await.expect("it listens");
        let patience = Duration::from_millis(1300);
        set_silence_timeout(&stream, patience).expect("the options exist");
        let socket = SockRef::from(&stream);
        assert_eq!(socket.tcp_user_timeout().expect("it was set"), Some(patience));
        assert!(socket.keepalive().expect("it was set"));
    });
}
