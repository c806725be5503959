//! Whether a router may serve, as a small hierarchical state machine: waiting without a proof,
//! serving on the core's word, or serving on the word of its peers while the core is away.

use statig::prelude::*;

/// Whether a router may serve, and on whose word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingStatus {
    /// It may not.
    Waiting,
    /// On the word of the core.
    ByCore,
    /// On the word of a majority of its peers.
    ByPeers,
}

/// What was found of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingEvent {
    /// The core confirmed it.
    CoreProved,
    /// Only peers confirmed it.
    PeersProved,
    /// It has run out.
    Unproved,
}

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

/// Goes from one status to the next.
pub struct ServingStateMachine {
    machine: StateMachine<Machine>,
}

impl Default for ServingStateMachine {
    fn default() -> Self {
        ServingStateMachine { machine: Machine.state_machine() }
    }
}

impl ServingStateMachine {
    /// The status after an event.
    pub fn take(&mut self, event: ServingEvent) -> ServingStatus {
        self.machine.handle(&event);
        match self.machine.state() {
            State::Waiting {} => ServingStatus::Waiting,
            State::ByCore {} => ServingStatus::ByCore,
            State::ByPeers {} => ServingStatus::ByPeers,
        }
    }
}
