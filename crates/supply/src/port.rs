//! The port: what the product asks of a supplier of instances, and what it is told. A supplier holds
//! conversations and decides nothing; a call may be dropped at any moment, and its effect is then open.

use serde::{Deserialize, Serialize};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    Starting,
    Running,
    Leaving,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct InstanceLine {
    pub id: String,
    pub service: String,
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub worker: String,
    pub state: InstanceState,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    pub instances: Vec<InstanceLine>,
}

/// A worker that is up; only one that is ready takes starts.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct WorkerLine {
    pub name: String,
    pub zone: String,
    pub memory_mb: u32,
    pub free_mb: u32,
    pub ready: bool,
}

/// One wish for one instance: however often it is ordered under its nonce, one instance comes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    pub nonce: String,
    pub service: String,
    pub worker: Option<String>,
    pub memory_mb: u32,
    pub fence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReceipt {
    Accepted { id: String, address: String },
    NoRoom,
    Limited,
    Refused,
    Unanswered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReceipt {
    Taken,
    Unknown,
    Limited,
    Unanswered,
}

pub type Call<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

pub trait Supplier {
    fn start(&self, order: StartOrder) -> Call<'_, StartReceipt>;
    fn stop(&self, id: String, fence: u64) -> Call<'_, StopReceipt>;
    fn list(&self) -> Call<'_, Option<Listing>>;
    fn workers(&self) -> Call<'_, Option<Vec<WorkerLine>>>;
}

/// Makes the supplier on the thread that uses it.
pub type Start = Box<dyn FnOnce() -> Rc<dyn Supplier> + Send>;
