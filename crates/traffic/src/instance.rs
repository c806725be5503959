//! One instance as its owner knows it: a state machine from starting to gone. Nothing is sent to
//! one that is draining or gone, from the moment that is learned.

use statig::prelude::*;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceEvent {
    Ready,
    Drain,
    Lost,
    Found,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Starting,
    Ready,
    Draining,
    Gone,
}

#[derive(Default)]
pub struct LifeCycle;

#[state_machine(initial = "State::starting()", state(derive(Debug)))]
impl LifeCycle {
    #[state(superstate = "known")]
    fn starting(event: &InstanceEvent) -> Outcome<State> {
        match event {
            InstanceEvent::Ready => Transition(State::ready()),
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn ready(event: &InstanceEvent) -> Outcome<State> {
        match event {
            InstanceEvent::Ready => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn draining(event: &InstanceEvent) -> Outcome<State> {
        match event {
            InstanceEvent::Lost => Super,
            _ => Handled,
        }
    }

    #[state]
    fn gone(event: &InstanceEvent) -> Outcome<State> {
        match event {
            InstanceEvent::Found => Transition(State::ready()),
            _ => Handled,
        }
    }

    #[superstate]
    fn known(event: &InstanceEvent) -> Outcome<State> {
        match event {
            InstanceEvent::Drain => Transition(State::draining()),
            InstanceEvent::Lost => Transition(State::gone()),
            InstanceEvent::Ready | InstanceEvent::Found => Handled,
        }
    }
}

/// A wish whose order has no clear outcome yet; its instance stands under the nonce until then.
pub struct Pending {
    pub requested: bool,
    pub resends: u32,
    pub hops: u32,
    pub retry_at: Duration,
}

pub struct Instance {
    phase_machine: StateMachine<LifeCycle>,
    pub address: String,
    pub worker: String,
    pub zone: String,
    pub pending: Option<Pending>,
    pub busy: u32,
    pub foreign: u32,
    pub foreign_until: Duration,
    pub allowed: u32,
    pub allowed_at: Duration,
    pub paused_until: Duration,
    pub ordered: Duration,
    pub used: Duration,
    pub stopping: Option<Duration>,
    pub retry_stop: Duration,
    pub lost: Option<Duration>,
    pub listed: bool,
    /// The most tasks that it had at once, all from this owner, and answered.
    pub proven: u32,
}

impl Instance {
    pub fn new(now: Duration, address: &str) -> Instance {
        Instance {
            phase_machine: LifeCycle.state_machine(),
            address: address.to_owned(),
            worker: String::new(),
            zone: String::new(),
            pending: None,
            busy: 0,
            foreign: 0,
            foreign_until: Duration::ZERO,
            allowed: u32::MAX,
            allowed_at: now,
            paused_until: Duration::ZERO,
            ordered: now,
            used: now,
            stopping: None,
            retry_stop: now,
            lost: None,
            listed: false,
            proven: 0,
        }
    }

    /// One that was just wished for, with nothing known of it but the nonce.
    pub fn wished(now: Duration) -> Instance {
        Instance { pending: Some(Pending::handed(now)), proven: u32::MAX, ..Instance::new(now, "") }
    }

    pub fn take(&mut self, event: InstanceEvent) {
        self.phase_machine.handle(&event);
    }

    pub fn phase(&self) -> Phase {
        match self.phase_machine.state() {
            State::Starting {} => Phase::Starting,
            State::Ready {} => Phase::Ready,
            State::Draining {} => Phase::Draining,
            State::Gone {} => Phase::Gone,
        }
    }

    /// Tasks this owner may have on it now: its limit, less others' tasks, less what it rejected.
    pub fn capacity(&self, now: Duration, limit: u32) -> u32 {
        if self.phase() != Phase::Ready || now < self.paused_until || self.address.is_empty() {
            return 0;
        }
        let foreign = if now < self.foreign_until { self.foreign } else { 0 };
        limit.min(self.allowed).saturating_sub(self.busy + foreign)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_leads_back_from_draining_and_only_a_connection_from_gone() {
        let mut instance = Instance::new(Duration::ZERO, "127.0.0.1:1");
        instance.take(InstanceEvent::Ready);
        assert_eq!(instance.capacity(Duration::ZERO, 4), 4);
        instance.take(InstanceEvent::Drain);
        instance.take(InstanceEvent::Ready);
        assert_eq!((instance.phase(), instance.capacity(Duration::ZERO, 4)), (Phase::Draining, 0));
        instance.take(InstanceEvent::Lost);
        instance.take(InstanceEvent::Ready);
        assert_eq!(instance.phase(), Phase::Gone);
        instance.take(InstanceEvent::Found);
        assert_eq!(instance.phase(), Phase::Ready);
    }
}
