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
    CoreProved,
    /// Only peers have confirmed the lease.
    PeersProved,
    /// The lease has expired.
    Unproved,
}

/// States and transitions of the serving status.
#[derive(Default)]
pub struct Machine;

#[state_machine(initial = "State::waiting()", state(derive(Debug)))]
impl Machine {
    #[state]
    fn waiting(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::CoreProved => Transition(State::by_core()),
            ServingEvent::PeersProved => Transition(State::by_peers()),
            ServingEvent::Unproved => Handled,
        }
    }

    #[state(superstate = "serving")]
    fn by_core(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::PeersProved => Transition(State::by_peers()),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn by_peers(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::CoreProved => Transition(State::by_core()),
            _ => Super,
        }
    }

    #[superstate]
    fn serving(event: &ServingEvent) -> Outcome<State> {
        match event {
            ServingEvent::Unproved => Transition(State::waiting()),
            _ => Handled,
        }
    }
}

/// State machine of the serving status.
pub struct ServingStateMachine {
    machine: StateMachine<Machine>,
}

impl Default for ServingStateMachine {
    fn default() -> Self {
        ServingStateMachine { machine: Machine.state_machine() }
    }
}

impl ServingStateMachine {
    /// Handles an event and returns the resulting status.
    pub fn take(&mut self, event: ServingEvent) -> ServingStatus {
        self.machine.handle(&event);
        match self.machine.state() {
            State::Waiting {} => ServingStatus::Waiting,
            State::ByCore {} => ServingStatus::ByCore,
            State::ByPeers {} => ServingStatus::ByPeers,
        }
    }
}
