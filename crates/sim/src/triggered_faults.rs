//! Faults triggered by an event: a change that is sent or acknowledged, a caller's task that is accepted, or a
//! machine that returns.

use crate::follow_ups::FollowUp;
use crate::operators::SentChange;
use crate::world::World;
use control::{ApiCall, CoreInput};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::time::Duration;

/// Event that triggers an armed fault, and the delay until the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// 5 to 400 ms after a change was sent, whether it is acknowledged or not.
    ChangeSent,
    /// Within 4 ms of an acknowledgement.
    ChangeAcknowledged,
    /// Within 4 ms of the acceptance of a caller's work.
    WorkAccepted,
}

/// Fault that an event can trigger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TriggeredFault {
    /// The registry of the event, and others up to this count, lose power.
    Kill {
        count: usize,
    },
    /// The same registries lose power and their disks.
    LoseDisks {
        count: usize,
    },
    /// The same registries lose their disks, and all others lose power.
    LoseDisksOthersPowerOff {
        count: usize,
    },
    PowerOffCore,
    /// All processes everywhere are killed.
    KillEverything,
    KillRouter,
}

/// Fault that waits for its trigger.
#[derive(Clone, Copy, Debug)]
pub struct ArmedFault {
    trigger: Trigger,
    fault: TriggeredFault,
}

impl World {
    pub(crate) fn arm(&mut self, trigger: Trigger, fault: TriggeredFault) {
        self.armed_faults.push(ArmedFault { trigger, fault });
    }

    /// Handles an event at this registry or router, which triggers the first armed fault that waits for it.
    pub(crate) fn fire_trigger(&mut self, trigger: Trigger, at: usize) {
        if trigger == Trigger::ChangeAcknowledged {
            self.operators.last_acknowledger = Some(at);
        }
        let Some(index) = self.armed_faults.iter().position(|armed| armed.trigger == trigger) else { return };
        let fault = self.armed_faults.remove(index).fault;
        let micros = match trigger {
            Trigger::ChangeSent => self.rng.random_range(5_000..400_000),
            Trigger::ChangeAcknowledged | Trigger::WorkAccepted => self.rng.random_range(0..4_000),
        };
        self.follow_up(Duration::from_micros(micros), FollowUp::TriggeredFault { at, fault });
    }

    pub(crate) fn apply_triggered_fault(&mut self, at: usize, fault: TriggeredFault) {
        self.log(|| format!("triggered at {at}: {fault:?}"));
        self.rules.add_fault_span(self.now, self.now + Duration::from_secs(5));
        match fault {
            TriggeredFault::Kill { count } => {
                let targets = self.registry_and_random_others(at, count);
                targets.into_iter().for_each(|n| self.kill_registry_for(n, 200, 5000));
            }
            TriggeredFault::LoseDisks { count } => {
                let count = count.min(self.remaining_disk_losses());
                for n in self.registry_and_random_others(at, count) {
                    let outage = self.random_ms(200, 5000);
                    self.replace_with_empty(n, outage);
                }
            }
            TriggeredFault::LoseDisksOthersPowerOff { count } => {
                let count = count.min(self.remaining_disk_losses());
                let losers = self.registry_and_random_others(at, count);
                for n in self.live_registries() {
                    if losers.contains(&n) {
                        let outage = self.random_ms(200, 2500);
                        self.replace_with_empty(n, outage);
                    } else {
                        self.kill_registry_for(n, 200, 2500);
                    }
                }
            }
            TriggeredFault::PowerOffCore => self.power_off_core(),
            TriggeredFault::KillEverything => self.power_off_all(),
            TriggeredFault::KillRouter => self.kill_router_for(at % self.routers.len(), 200, 4000),
        }
    }

    /// Returns a registry and randomly drawn others, `count` in all.
    fn registry_and_random_others(&mut self, first: usize, count: usize) -> Vec<usize> {
        let mut others: Vec<usize> = self.live_registries();
        others.retain(|n| *n != first);
        others.shuffle(&mut self.rng);
        let first = Some(first).filter(|n| !self.registries.get(*n).is_none_or(|node| node.retired));
        first.into_iter().chain(others).take(count).collect()
    }

    pub(crate) fn change_at_return(&mut self, count: usize, outage: Duration) {
        let registry = self.pick_registry();
        let millis = outage.as_millis() as u64;
        self.kill_registry_for(registry, millis, millis + 1);
        for _ in 0..3 {
            let wait = outage + self.random_ms(1, 1200);
            self.follow_up(wait, FollowUp::Change { registry, count });
        }
    }

    /// Sends changes to one registry, all on the newest known revision.
    pub(crate) fn send_changes(&mut self, registry: usize, count: usize) {
        let quiet = self.now + Duration::from_secs(1) > self.plan.final_fault && self.operators.read.is_some();
        if quiet || !self.operators.founded {
            return;
        }
        let base = Some(self.operators.revision);
        for _ in 0..count {
            if self.registries[registry].core.is_none() {
                return;
            }
            self.operators.next += 1;
            let request_id = self.operators.next;
            let mark = format!("m{request_id}");
            let items = vec![crate::configuration::mark_item(&mark)];
            let call = ApiCall::Change {
                op: mark.clone(),
                base,
                revision: None,
                full: false,
                scope: String::new(),
                items,
                dry: false,
            };
            self.operators
                .open
                .insert((registry, request_id), SentChange { mark, base, invalid: false, sent: self.now });
            self.feed_registry(registry, CoreInput::Call { request_id, call });
            self.fire_trigger(Trigger::ChangeSent, registry);
        }
    }

    pub(crate) fn kill_repeatedly(&mut self) -> Duration {
        let registry = self.pick_registry();
        let times = self.rng.random_range(3..7);
        self.kill_again(registry, times);
        Duration::from_secs(12)
    }

    /// Kills a registry, restarts it soon, and kills it again as soon as it answers, this many times.
    pub(crate) fn kill_again(&mut self, registry: usize, times: u32) {
        if times == 0 {
            return;
        }
        let outage = self.random_ms(100, 800);
        let millis = outage.as_millis() as u64;
        self.kill_registry_for(registry, millis, millis + 1);
        let answers = outage + self.random_ms(20, 1500);
        self.follow_up(answers, FollowUp::KillAgain { registry, times: times - 1 });
    }
}
