//! Failures struck at a moment that others bring: as a change is sent or acknowledged, as a caller's work is
//! accepted, as a machine returns.

use crate::follow_ups::FollowUp;
use crate::operators::Asked;
use crate::world::World;
use control::{ApiCall, CoreInput};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// 5 to 400 ms after a change was sent, whether it is acknowledged or not.
    ChangeSent,
    /// Within 4 ms of an acknowledgement.
    ChangeAcknowledged,
    /// Within 4 ms of the acceptance of a caller's work.
    WorkAccepted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    /// The registry concerned, and others up to this count, lose power.
    Kill {
        count: usize,
    },
    /// They lose their disks with it.
    LoseDisks {
        count: usize,
    },
    /// They lose their disks, and all other registries lose power.
    LoseDisksOthersPowerOff {
        count: usize,
    },
    PowerOffCore,
    /// All processes everywhere are killed.
    KillEverything,
    KillRouter,
}

/// A blow that waits for its moment.
#[derive(Clone, Copy, Debug)]
pub struct Armed {
    trigger: Trigger,
    blow: Blow,
}

impl World {
    pub(crate) fn arm(&mut self, trigger: Trigger, blow: Blow) {
        self.armed.push(Armed { trigger, blow });
    }

    /// A moment has come that blows may wait for, at this registry or router.
    pub(crate) fn moment(&mut self, trigger: Trigger, at: usize) {
        if trigger == Trigger::ChangeAcknowledged {
            self.operators.last_acknowledger = Some(at);
        }
        let Some(place) = self.armed.iter().position(|armed| armed.trigger == trigger) else { return };
        let blow = self.armed.remove(place).blow;
        let micros = match trigger {
            Trigger::ChangeSent => self.dice.random_range(5_000..400_000),
            Trigger::ChangeAcknowledged | Trigger::WorkAccepted => self.dice.random_range(0..4_000),
        };
        self.follow_up(Duration::from_micros(micros), FollowUp::Strike { at, blow });
    }

    pub(crate) fn strike(&mut self, at: usize, blow: Blow) {
        self.say(|| format!("struck at {at}: {blow:?}"));
        self.rules.faulty(self.now, self.now + Duration::from_secs(5));
        match blow {
            Blow::Kill { count } => {
                let targets = self.with_others(at, count);
                targets.into_iter().for_each(|n| self.kill_registry_for(n, 200, 5000));
            }
            Blow::LoseDisks { count } => {
                let count = count.min(self.disks_that_may_go());
                for n in self.with_others(at, count) {
                    let back = self.ms(200, 5000);
                    self.replace_with_empty(n, back);
                }
            }
            Blow::LoseDisksOthersPowerOff { count } => {
                let count = count.min(self.disks_that_may_go());
                let losers = self.with_others(at, count);
                for n in self.live_registries() {
                    if losers.contains(&n) {
                        let back = self.ms(200, 2500);
                        self.replace_with_empty(n, back);
                    } else {
                        self.kill_registry_for(n, 200, 2500);
                    }
                }
            }
            Blow::PowerOffCore => self.power_off_core(),
            Blow::KillEverything => self.power_off_all(),
            Blow::KillRouter => self.kill_router_for(at % self.routers.len(), 200, 4000),
        }
    }

    /// A registry and others drawn by lot, so many in all.
    fn with_others(&mut self, first: usize, count: usize) -> Vec<usize> {
        let mut others: Vec<usize> = self.live_registries();
        others.retain(|n| *n != first);
        others.shuffle(&mut self.dice);
        let first = Some(first).filter(|n| !self.registries.get(*n).is_none_or(|node| node.retired));
        first.into_iter().chain(others).take(count).collect()
    }

    pub(crate) fn change_at_return(&mut self, count: usize, back: Duration) {
        let registry = self.chosen_registry();
        let millis = back.as_millis() as u64;
        self.kill_registry_for(registry, millis, millis + 1);
        for _ in 0..3 {
            let wait = back + self.ms(1, 1200);
            self.follow_up(wait, FollowUp::Change { registry, count });
        }
    }

    /// Changes by mark, all on the newest revision known, to one registry.
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
            let items = vec![crate::declared::mark_line(&mark)];
            let call = ApiCall::Change {
                op: mark.clone(),
                base,
                revision: None,
                full: false,
                scope: String::new(),
                items,
                dry: false,
            };
            self.operators.open.insert((registry, request_id), Asked { mark, base, invalid: false, sent: self.now });
            self.feed_registry(registry, CoreInput::Call { request_id, call });
            self.moment(Trigger::ChangeSent, registry);
        }
    }

    pub(crate) fn kill_again_and_again(&mut self) -> Duration {
        let registry = self.chosen_registry();
        let times = self.dice.random_range(3..7);
        self.kill_again(registry, times);
        Duration::from_secs(12)
    }

    /// Back soon, killed as soon as it answers, and so on.
    pub(crate) fn kill_again(&mut self, registry: usize, times: u32) {
        if times == 0 {
            return;
        }
        let back = self.ms(100, 800);
        let millis = back.as_millis() as u64;
        self.kill_registry_for(registry, millis, millis + 1);
        let answers = back + self.ms(20, 1500);
        self.follow_up(answers, FollowUp::KillAgain { registry, times: times - 1 });
    }
}
