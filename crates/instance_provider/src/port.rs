//! The provider trait, its requests and its replies. A provider only talks to the platform and decides nothing.
//! A call may be dropped at any time; whether it took effect is then unknown.

use serde::{Deserialize, Serialize};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Lifecycle state of an instance, as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Ordered, and not yet ready for requests.
    Starting,
    /// Ready for requests.
    Running,
    /// Stopping; it must not receive further requests.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct InstanceLine {
    /// Id assigned by the platform, never reused.
    pub id: String,
    /// Name of the function that it runs, as `tenant/name`.
    pub service: String,
    /// Address for requests, as `IP:port`.
    pub address: String,
    /// Zone of the instance; empty if the platform does not report it.
    #[serde(default)]
    pub zone: String,
    /// Worker that runs the instance; empty if the platform does not report it.
    #[serde(default)]
    pub worker: String,
    /// Lifecycle state.
    pub state: InstanceState,
}

/// The platform's complete list of instances at one point in time.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    /// Every instance that is starting, running or leaving.
    pub instances: Vec<InstanceLine>,
}

/// A worker that is up; instances can be started on it only while it is ready.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct WorkerLine {
    /// Name of the worker.
    pub name: String,
    /// Zone of the worker.
    pub zone: String,
    /// Total memory in MB.
    pub memory_mb: u32,
    /// Free memory in MB.
    pub free_mb: u32,
    /// Whether instances can be started on the worker.
    pub ready: bool,
}

/// Order for one instance: repeating it with the same nonce never starts a second instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Identifies the order; repetitions carry the same nonce.
    pub nonce: String,
    /// Name of the function to run, as `tenant/name`.
    pub service: String,
    /// Worker to run it on; `None` leaves the choice to the platform.
    pub worker: Option<String>,
    /// Memory that the instance needs, in MB.
    pub memory_mb: u32,
    /// Number of the membership under which it was ordered; the platform may refuse orders with a lower number.
    pub fence: u64,
}

/// The platform's reply to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The instance is starting.
    Accepted {
        /// Id assigned by the platform.
        id: String,
        /// Address at which it will accept requests.
        address: String,
    },
    /// No worker has enough free memory.
    InsufficientMemory,
    /// Too many orders in a short time; the order may be repeated.
    RateLimited,
    /// The order is invalid; a repetition would be refused too.
    Refused,
    /// No answer in time: the order may have taken effect.
    Unanswered,
}

/// The platform's reply to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The instance is stopping.
    Accepted,
    /// There is no such instance.
    Unknown,
    /// Too many orders in a short time; the order may be repeated.
    RateLimited,
    /// No answer in time: the order may have taken effect.
    Unanswered,
}

/// A call in progress; if it is dropped, it is unknown whether it takes effect.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Starts, stops and lists instances on a platform.
pub trait InstanceProvider {
    /// Orders the start of one instance.
    fn start(&self, order: StartOrder) -> Call<'_, StartReply>;
    /// Orders the stop of an instance; `fence` is the number of the membership.
    fn stop(&self, id: String, fence: u64) -> Call<'_, StopReply>;
    /// Reads the list of instances; returns `None` if it could not be read.
    fn list(&self) -> Call<'_, Option<Listing>>;
    /// Reads the list of workers; returns `None` if it could not be read.
    fn workers(&self) -> Call<'_, Option<Vec<WorkerLine>>>;
}

/// Creates the provider on the thread that uses it.
pub type ProviderFactory = Box<dyn FnOnce() -> Rc<dyn InstanceProvider> + Send>;
