//! Messages to and from the dispatcher.

use bytes::Bytes;
use std::time::Duration;

/// Order to send one request to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Number of the order, unique in this process.
    pub number: u64,
    /// Id of the instance at its provider; only this instance may run the request.
    pub instance_id: String,
    /// Address where the instance accepts requests, as `IP:port`.
    pub address: String,
    /// Request head, as an encoded `wire::RequestHead`.
    pub head: Vec<u8>,
    /// Request body.
    pub body: Bytes,
    /// Time left until the deadline of the task.
    pub time_left: Duration,
    /// Maximum number of connections that the instance accepts.
    pub max_connections: u32,
}

/// Message to the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherMessage {
    /// Send a request.
    Send(DispatchOrder),
    /// Check whether an instance accepts connections.
    Probe {
        /// Id of the instance at its provider.
        id: String,
        /// Address where the instance accepts requests.
        address: String,
        /// Time to wait before the first attempt.
        delay: Duration,
        /// Time to keep trying after that.
        timeout: Duration,
    },
    /// Close the pooled connections to an instance.
    Forget {
        /// Id of the instance at its provider.
        id: String,
    },
}

/// Known outcome of an ordered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// A complete response arrived.
    Complete {
        /// Status of the response.
        status: u16,
        /// Response head, as an encoded `wire::AnswerHead`.
        head: Vec<u8>,
        /// Response body.
        body: Bytes,
        /// Whether the instance rejected the request for lack of capacity; guessed from the status, and only in
        /// dialects without a header for requests that were not run.
        turned_away: bool,
    },
    /// The instance states that it did not run the task, or that it is not the instance the task was meant for.
    NotRun {
        /// Whether another instance answers at the address.
        wrong_instance: bool,
    },
    /// The address does not accept connections.
    Unreachable,
    /// Nothing was sent, because no connection was available in time.
    NoConnection,
    /// The request may or may not have run.
    InDoubt {
        /// Description of the failure, for the log.
        detail: String,
        /// Whether the time ran out, as opposed to a failed connection.
        timed_out: bool,
    },
}

/// Message from the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchReport {
    /// Outcome of an order.
    Dispatched {
        /// Number of the order.
        number: u64,
        /// Outcome of the request.
        outcome: DispatchOutcome,
    },
    /// Result of a probe.
    Probed {
        /// Id of the instance at its provider.
        id: String,
        /// Whether the instance accepted a connection in time.
        ready: bool,
    },
}
