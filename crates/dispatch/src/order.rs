//! What the dispatcher is told and what it tells.

use std::time::Duration;

/// One request to be sent to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The order's number, unique in this process.
    pub number: u64,
    /// The provider's id of the instance, to which the request is pinned.
    pub instance_id: String,
    /// Where the instance takes requests, as `IP:port`.
    pub address: String,
    /// The request's head, as an encoded `wire::RequestHead`.
    pub head: Vec<u8>,
    /// The request's body.
    pub body: Vec<u8>,
    /// What is left of the task's time.
    pub time_left: Duration,
    /// The most connections the instance takes.
    pub max_connections: u32,
}

/// What the dispatcher can be asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherMessage {
    /// Send a request.
    Send(DispatchOrder),
    /// Try whether an instance takes connections.
    Probe {
        /// The platform's id of it.
        id: String,
        /// Where it takes requests.
        address: String,
        /// How long to wait before the first try.
        delay: Duration,
        /// How long to try.
        timeout: Duration,
    },
    /// Close the kept connections to an instance.
    Forget {
        /// The platform's id of it.
        id: String,
    },
}

/// What may be believed about a request that was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// `turned_away` is a guess by the status, where the dialect has no word for it.
    Complete {
        /// The status of the answer.
        status: u16,
        /// The answer's head, as an encoded `wire::AnswerHead`.
        head: Vec<u8>,
        /// The answer's body.
        body: Vec<u8>,
        /// Whether the instance refused the request for want of room.
        turned_away: bool,
    },
    /// By the instance's own word it did not run the task, or it is another than it was taken for.
    NotRun {
        /// Whether another instance answers at the address.
        wrong_instance: bool,
    },
    /// Nobody takes connections there.
    Unreachable,
    /// Nothing was sent, since no connection could be had in time.
    NoConnection,
    /// The request may have run.
    InDoubt {
        /// What happened, for the log.
        detail: String,
        /// Whether the time ran out, rather than the connection failing.
        timed_out: bool,
    },
}

/// What the dispatcher tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchReport {
    /// Of an order.
    Dispatched {
        /// The order's number.
        number: u64,
        /// What came of it.
        outcome: DispatchOutcome,
    },
    /// Of a probe.
    Probed {
        /// The instance.
        id: String,
        /// Whether it took a connection in time.
        ready: bool,
    },
}
