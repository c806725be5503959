//! An instance as its owner knows it: a state machine from starting to gone. As soon as the owner learns that an
//! instance is draining or gone, it sends nothing more to it.

use statig::prelude::*;
use std::time::Duration;

/// Event that changes the phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The instance accepts requests.
    Ready,
    /// The instance is to finish its requests and stop.
    Drain,
    /// The instance cannot be reached or is no longer listed.
    Lost,
    /// A lost instance accepts connections again.
    Reconnected,
}

/// Phase in the life of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Starting,
    Ready,
    Draining,
    Gone,
}

/// State machine of the phases.
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
            InstanceEvent::Reconnected => Transition(State::ready()),
            _ => Handled,
        }
    }

    #[superstate]
    fn known(event: &InstanceEvent) -> Outcome<State> {
        match event {
            InstanceEvent::Drain => Transition(State::draining()),
            InstanceEvent::Lost => Transition(State::gone()),
            InstanceEvent::Ready | InstanceEvent::Reconnected => Handled,
        }
    }
}

/// A start order without a definite outcome yet. Until then its instance is listed under the order's nonce.
pub struct PendingStart {
    /// Whether an order is out whose reply has not arrived.
    pub requested: bool,
    /// Number of orders without a reply.
    pub resends: u32,
    /// Number of workers that had no room.
    pub workers_tried: u32,
    /// Earliest time of the next order.
    pub retry_at: Duration,
}

/// An instance of one function.
pub struct Instance {
    phase_machine: StateMachine<LifeCycle>,
    /// Address for requests; empty while unknown.
    pub address: String,
    /// Worker that it runs on; empty while unknown.
    pub worker: String,
    /// Zone that it runs in; empty while unknown.
    pub zone: String,
    /// Start order without a definite outcome.
    pub pending: Option<PendingStart>,
    /// Requests of this owner that run on it.
    pub busy: u32,
    /// Requests of other owners assumed to run on it, until `foreign_until`.
    pub foreign_requests: u32,
    pub foreign_until: Duration,
    /// Maximum number of concurrent requests; lowered by rejections and raised again over time.
    pub concurrency_limit: u32,
    /// Time of the last change of `concurrency_limit`.
    pub limit_changed_at: Duration,
    /// Time until which nothing is sent to it.
    pub paused_until: Duration,
    /// Time of the start order, or when this owner first learned of the instance.
    pub ordered_at: Duration,
    /// Time when its last request ended.
    pub last_used_at: Duration,
    /// Time of the last stop order.
    pub stop_ordered_at: Option<Duration>,
    /// Earliest time of the next stop order.
    pub retry_stop_at: Duration,
    /// Time when it was lost.
    pub lost_at: Option<Duration>,
    /// Whether the platform has listed it.
    pub listed: bool,
    /// Maximum number of concurrent requests, all from this owner, under which the instance has answered.
    pub proven_concurrency: u32,
}

impl Instance {
    /// Creates an instance that is starting.
    pub fn new(now: Duration, address: &str) -> Instance {
        Instance {
            phase_machine: LifeCycle.state_machine(),
            address: address.to_owned(),
            worker: String::new(),
            zone: String::new(),
            pending: None,
            busy: 0,
            foreign_requests: 0,
            foreign_until: Duration::ZERO,
            concurrency_limit: u32::MAX,
            limit_changed_at: now,
            paused_until: Duration::ZERO,
            ordered_at: now,
            last_used_at: now,
            stop_ordered_at: None,
            retry_stop_at: now,
            lost_at: None,
            listed: false,
            proven_concurrency: 0,
        }
    }

    /// Creates an instance whose start is only being ordered, with nothing known about it but the nonce.
    pub fn pending(now: Duration) -> Instance {
        Instance {
            pending: Some(PendingStart::handed_over(now)),
            proven_concurrency: u32::MAX,
            ..Instance::new(now, "")
        }
    }

    /// Applies an event.
    pub fn apply(&mut self, event: InstanceEvent) {
        self.phase_machine.handle(&event);
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match self.phase_machine.state() {
            State::Starting {} => Phase::Starting,
            State::Ready {} => Phase::Ready,
            State::Draining {} => Phase::Draining,
            State::Gone {} => Phase::Gone,
        }
    }

    /// Returns how many more requests this owner may send to the instance now: its limit, reduced after rejections,
    /// less the requests that it already has from this and other owners.
    pub fn capacity(&self, now: Duration, limit: u32) -> u32 {
        if self.phase() != Phase::Ready || now < self.paused_until || self.address.is_empty() {
            return 0;
        }
        let foreign = if now < self.foreign_until { self.foreign_requests } else { 0 };
        limit.min(self.concurrency_limit).saturating_sub(self.busy + foreign)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn draining_instance_never_becomes_ready_and_gone_one_only_by_reconnection() {
        let mut instance = Instance::new(Duration::ZERO, "127.0.0.1:1");
        instance.apply(InstanceEvent::Ready);
        assert_eq!(instance.capacity(Duration::ZERO, 4), 4);
        instance.apply(InstanceEvent::Drain);
        instance.apply(InstanceEvent::Ready);
        assert_eq!((instance.phase(), instance.capacity(Duration::ZERO, 4)), (Phase::Draining, 0));
        instance.apply(InstanceEvent::Lost);
        instance.apply(InstanceEvent::Ready);
        assert_eq!(instance.phase(), Phase::Gone);
        instance.apply(InstanceEvent::Reconnected);
        assert_eq!(instance.phase(), Phase::Ready);
    }
}
