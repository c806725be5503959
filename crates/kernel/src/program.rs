//! What every program is put together from: named threads with a runtime of their own, listeners
//! bound before anything runs, services looked up by name, and the signal for a planned stop.

use crate::directory::Directory;
use crate::inbox::Post;
use derive_more::{Display, Error};
use std::io;
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

#[derive(Debug, Display, Error)]
pub enum StartFault {
    #[display("thread {name}: {fault}")]
    Thread { name: String, fault: io::Error },
    #[display("cannot listen on {address}: {fault}")]
    Listen { address: String, fault: io::Error },
}

/// Runs work to its end on this thread, on a runtime of its own.
pub fn local<F: Future<Output = ()> + 'static>(work: F) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, work);
}

pub fn thread<F: FnOnce() + Send + 'static>(name: &str, work: F) -> Result<JoinHandle<()>, StartFault> {
    let started = std::thread::Builder::new().name(name.into()).spawn(work);
    started.map_err(|fault| StartFault::Thread { name: name.to_owned(), fault })
}

pub fn listen(address: &str) -> Result<std::net::TcpListener, StartFault> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|fault| StartFault::Listen { address: address.to_owned(), fault })
}

/// The address to listen at: the one bound to if there is one, else the one others are told.
pub fn behind<'a>(bind: &'a str, address: &'a str) -> &'a str {
    if bind.is_empty() { address } else { bind }
}

/// Takes a bound listener into the running thread's runtime.
pub fn adopt(listener: std::net::TcpListener) -> TcpListener {
    TcpListener::from_std(listener).expect("a bound listener can be registered")
}

pub fn find<M: Send + 'static>(directory: &Directory, name: &str) -> Post<M> {
    directory.find(name).expect("every service is announced before any is started")
}

pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        return std::future::pending().await;
    };
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
}
