//! Hierarchical state machine for whether a router may serve: waiting without a lease, serving with a lease confirmed
//! by the core, or serving with a lease confirmed by its peers while the core is unreachable.

use statig::prelude::*;

/// Whether a router may serve, and who confirmed its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingStatus {
    /// The router may not serve.
    Waiting,
    /// The router may serve: the core confirmed its lease.
    ByCore,
    /// The router may serve: a majority of its peers confirmed its lease.
    ByPeers,
}

/// Present state of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingEvent {
    /// The core has confirmed the lease.
    CoreConfirmed,
    /// Only peers have confirmed the lease.
    PeersConfirmed,
    /// The lease has expired.
    LeaseExpired,
}

/// States and transitions of the serving status.
#[derive(Default)]
pub struct ServingMachine;

#[state_machine(initial = "State::waiting()", state(derive(Debug)))]
impl ServingMachine {
    #[state]
    fn waiting(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::CoreConfirmed => Transition(State::by_core()),
            ServingEvent::PeersConfirmed => Transition(State::by_peers()),
            ServingEvent::LeaseExpired => Handled,
        }
    }

    #[state(superstate = "serving")]
    fn by_core(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::PeersConfirmed => Transition(State::by_peers()),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn by_peers(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::CoreConfirmed => Transition(State::by_core()),
            _ => Super,
        }
    }

    #[superstate]
    fn serving(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::LeaseExpired => Transition(State::waiting()),
            _ => Handled,
        }
    }
}

/// State machine of the serving status.
pub struct ServingStateMachine {
    machine: StateMachine<ServingMachine>,
}

impl Default for ServingStateMachine {
    fn default() -> Self {
        ServingStateMachine { machine: ServingMachine.state_machine() }
    }
}

impl ServingStateMachine {
    /// Handles an event and returns the resulting status.
    pub fn handle(&mut self, event: ServingEvent) -> ServingStatus {
        self.machine.handle(&event);
        match self.machine.state() {
            State::Waiting {} => ServingStatus::Waiting,
            State::ByCore {} => ServingStatus::ByCore,
            State::ByPeers {} => ServingStatus::ByPeers,
        }
    }
}
