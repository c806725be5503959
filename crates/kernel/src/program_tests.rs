//! Tests of waiting for threads at the end of a program.

use super::*;
use std::sync::mpsc::channel;

#[test]
fn joining_a_blocked_thread_returns_at_the_deadline() {
    let (release, blocked) = channel::<()>();
    let busy = std::thread::spawn(move || _ = blocked.recv());
    join_until(busy, Some(Instant::now()));
    // The send succeeds only while the thread still waits to receive.
    assert!(release.send(()).is_ok());
}

#[test]
fn joining_without_a_deadline_waits_until_the_thread_ends() {
    let (sender, receiver) = channel::<()>();
    let ending = std::thread::spawn(move || drop(sender));
    join_until(ending, None);
    assert!(receiver.try_recv().is_err());
}
