//! What the dispatcher is told and what it tells.

use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    pub number: u64,
    /// The supplier's id of the instance, to which the request is pinned.
    pub instance: String,
    pub address: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// What is left of the task's time.
    pub limit: Duration,
    /// The most connections the instance takes.
    pub connections: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherMsg {
    Send(DispatchOrder),
    Probe { id: String, address: String, after: Duration, limit: Duration },
    Forget { id: String },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// `turned_away` is a guess by the status, where the dialect has no word for it.
    Whole {
        status: u16,
        head: Vec<u8>,
        body: Vec<u8>,
        turned_away: bool,
    },
    /// By the instance's own word it did not run the task, or it is another than it was taken for.
    NotRun {
        wrong_instance: bool,
    },
    /// Nobody takes connections there.
    NotSent,
    /// Nothing was sent, since no connection could be had in time.
    Crowded,
    InDoubt {
        told: String,
        late: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchReport {
    Dispatched { number: u64, verdict: Verdict },
    Probed { id: String, ready: bool },
}
