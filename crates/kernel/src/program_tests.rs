//! Tests of waiting for threads at the end of a program.

use super::*;
use std::sync::mpsc::channel;

#[test]
fn a_thread_whose_callers_do_not_end_is_not_waited_for_beyond_the_grace() {
    let (release, blocked) = channel::<()>();
    let busy = std::thread::spawn(move || _ = blocked.recv());
    join_until(busy, Some(Instant::now()));
    // The send succeeds only while the thread still waits to receive.
    assert!(release.send(()).is_ok());
}

#[test]
fn a_thread_that_ends_is_waited_for() {
    let (sender, receiver) = channel::<()>();
    let ending = std::thread::spawn(move || drop(sender));
    join_until(ending, None);
    assert!(receiver.try_recv().is_err());
}
