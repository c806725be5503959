//! Messages to the traffic thread.

use crate::front_types::{Call, Reply};
use bindings::RouteTable;
use dispatch::DispatchReport;
use instance_provider::ProviderReport;
use leases::Membership;
use links::LinkEvent;
use memory::Reservation;
use tokio::sync::oneshot;
use wire::NodeId;

/// Message to the traffic thread.
pub enum TrafficMessage {
    Task {
        call: Call,
        reply: oneshot::Sender<Reply>,
        /// Memory of the request, given back once it is answered.
        reservation: Reservation,
    },
    /// A query for the state of a deferred task.
    TaskStatus {
        id: String,
        reply: oneshot::Sender<Reply>,
    },
    Link(LinkEvent),
    Dispatcher(DispatchReport),
    Platform(ProviderReport),
    RouteTable(Box<RouteTable>),
    /// A later epoch with an unchanged route table.
    Epoch(u64),
    Membership(Box<Membership>),
    Registries {
        tail: Option<NodeId>,
        reachable: bool,
        registries: Vec<NodeId>,
    },
    MembershipLost,
    /// The listener for callers is closed, and their connections have ended.
    CallersClosed,
}
