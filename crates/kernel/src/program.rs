//! Helpers for starting and stopping a program: named threads, each with its own runtime, listeners that are
//! bound before anything runs, lookup of services by name, and the signal for a planned stop.

use crate::directory::Directory;
use crate::inbox::InboxSender;
use derive_more::{Display, Error};
use std::io;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Interval at which [`join_until`] checks whether the thread has ended.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reason why a program could not be started.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A thread could not be started.
    #[display("thread {name}: {error}")]
    Thread {
        /// The thread's name.
        name: String,
        /// Error returned by the operating system.
        error: io::Error,
    },
    /// An address could not be bound to.
    #[display("cannot listen on {address}: {error}")]
    Listen {
        /// The address to bind to.
        address: String,
        /// Error returned by the operating system.
        error: io::Error,
    },
}

/// Runs a future to completion on this thread, on a new single-threaded runtime.
pub fn local<F: Future<Output = ()> + 'static>(work: F) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, work);
}

/// Starts a named thread.
pub fn thread<F: FnOnce() + Send + 'static>(name: &str, work: F) -> Result<JoinHandle<()>, StartError> {
    let started = std::thread::Builder::new().name(name.into()).spawn(work);
    started.map_err(|error| StartError::Thread { name: name.to_owned(), error })
}

/// Waits until a thread has ended or the deadline has passed.
pub fn join_until(thread: JoinHandle<()>, deadline: Option<Instant>) {
    while !thread.is_finished() && deadline.is_none_or(|deadline| Instant::now() < deadline) {
        std::thread::sleep(JOIN_POLL_INTERVAL);
    }
}

/// Binds a non-blocking TCP listener, to be registered with a runtime by [`adopt`].
pub fn listen(address: &str) -> Result<std::net::TcpListener, StartError> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|error| StartError::Listen { address: address.to_owned(), error })
}

/// Returns the address to listen on: `bind` if it is set, else the advertised `address`.
pub fn listen_address<'a>(bind: &'a str, address: &'a str) -> &'a str {
    if bind.is_empty() { address } else { bind }
}

/// Registers a bound listener with the runtime of the current thread.
pub fn adopt(listener: std::net::TcpListener) -> TcpListener {
    TcpListener::from_std(listener).expect("a bound listener can be registered")
}

/// Returns the sending end of a service's inbox. Panics if the service was not announced.
pub fn find<M: Send + 'static>(directory: &Directory, name: &str) -> InboxSender<M> {
    directory.find(name).expect("every service is announced before any is started")
}

/// Returns once the process is asked to stop (SIGTERM or SIGINT).
pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        return std::future::pending().await;
    };
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
}

#[cfg(test)]
#[path = "program_tests.rs"]
mod program_tests;
