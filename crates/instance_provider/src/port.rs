//! The port: what the product asks of a provider of instances, and what it is told. A provider holds
//! conversations and decides nothing; a call may be dropped at any moment, and its effect is then open.

use serde::{Deserialize, Serialize};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Where an instance is in its life, as the platform tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Ordered, and not yet ready to take requests.
    Starting,
    /// Ready to take requests.
    Running,
    /// Told to stop; it must get nothing more.
    Leaving,
}

/// One instance, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct InstanceLine {
    /// The platform's id of it, never used again.
    pub id: String,
    /// The function it runs, as `tenant/name`.
    pub service: String,
    /// Where it takes requests, as `IP:port`.
    pub address: String,
    /// The zone it runs in; empty if the platform does not tell.
    #[serde(default)]
    pub zone: String,
    /// The worker it runs on; empty if the platform does not tell.
    #[serde(default)]
    pub worker: String,
    /// Where it is in its life.
    pub state: InstanceState,
}

/// The platform's whole list of instances at one moment.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    /// Every instance that is starting, running or leaving.
    pub instances: Vec<InstanceLine>,
}

/// A worker that is up; only one that is ready takes starts.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct WorkerLine {
    /// The worker's name.
    pub name: String,
    /// The zone it is in.
    pub zone: String,
    /// All of its memory.
    pub memory_mb: u32,
    /// What is free of it.
    pub free_mb: u32,
    /// Whether it takes starts.
    pub ready: bool,
}

/// One wish for one instance: however often it is ordered under its nonce, one instance comes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Names the wish; repeated orders carry the same one.
    pub nonce: String,
    /// The function to run, as `tenant/name`.
    pub service: String,
    /// Where to run it; none leaves the choice to the platform.
    pub worker: Option<String>,
    /// The memory it needs.
    pub memory_mb: u32,
    /// The number of the membership under which it was ordered; the platform may refuse lower ones.
    pub fence: u64,
}

/// The platform's reply to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The instance is coming up.
    Accepted {
        /// The platform's id of it.
        id: String,
        /// Where it will take requests.
        address: String,
    },
    /// No worker has the memory for it.
    InsufficientMemory,
    /// Too many orders in a short time; it may be tried again.
    RateLimited,
    /// The order is wrong and will be refused again.
    Refused,
    /// No answer in time: the order may have taken effect.
    Unanswered,
}

/// The platform's reply to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The instance is leaving.
    Accepted,
    /// There is no such instance.
    Unknown,
    /// Too many orders in a short time; it may be tried again.
    RateLimited,
    /// No answer in time: the order may have taken effect.
    Unanswered,
}

/// A call under way; dropping it leaves its effect open.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Whoever starts, stops and lists instances.
pub trait InstanceProvider {
    /// Orders one instance.
    fn start(&self, order: StartOrder) -> Call<'_, StartReply>;
    /// Orders an instance stopped, under the number of the membership.
    fn stop(&self, id: String, fence: u64) -> Call<'_, StopReply>;
    /// Reads the list of instances; none if it could not be read.
    fn list(&self) -> Call<'_, Option<Listing>>;
    /// Reads the list of workers; none if it could not be read.
    fn workers(&self) -> Call<'_, Option<Vec<WorkerLine>>>;
}

/// Makes the provider on the thread that uses it.
pub type ProviderFactory = Box<dyn FnOnce() -> Rc<dyn InstanceProvider> + Send>;
