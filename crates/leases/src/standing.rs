//! Whether a router may serve, as a small hierarchical state machine: waiting without a proof,
//! serving on the core's word, or serving on the word of its peers while the core is away.

use statig::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Waiting,
    ByCore,
    ByPeers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandingEvent {
    CoreProved,
    PeersProved,
    Unproved,
}

#[derive(Default)]
pub struct Machine;

#[state_machine(initial = "State::waiting()", state(derive(Debug)))]
impl Machine {
    #[state]
    fn waiting(event: &StandingEvent) -> Outcome<State> {
        match event {
            StandingEvent::CoreProved => Transition(State::by_core()),
            StandingEvent::PeersProved => Transition(State::by_peers()),
            StandingEvent::Unproved => Handled,
        }
    }

    #[state(superstate = "serving")]
    fn by_core(event: &StandingEvent) -> Outcome<State> {
        match event {
            StandingEvent::PeersProved => Transition(State::by_peers()),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn by_peers(event: &StandingEvent) -> Outcome<State> {
        match event {
            StandingEvent::CoreProved => Transition(State::by_core()),
            _ => Super,
        }
    }

    #[superstate]
    fn serving(event: &StandingEvent) -> Outcome<State> {
        match event {
            StandingEvent::Unproved => Transition(State::waiting()),
            _ => Handled,
        }
    }
}

pub struct Standings {
    machine: StateMachine<Machine>,
}

impl Default for Standings {
    fn default() -> Self {
        Standings { machine: Machine.state_machine() }
    }
}

impl Standings {
    pub fn take(&mut self, event: StandingEvent) -> Standing {
        self.machine.handle(&event);
        match self.machine.state() {
            State::Waiting {} => Standing::Waiting,
            State::ByCore {} => Standing::ByCore,
            State::ByPeers {} => Standing::ByPeers,
        }
    }
}
