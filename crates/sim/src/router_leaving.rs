//! Planned stops of simulated routers.

use crate::router_node::RouterInput;
use crate::sorts::Sort;
use crate::world::{Event, World};
use rand::RngExt;
use std::time::Duration;
use traffic::{FrontInput, OwnerInput};

const MIN_LEAVE_TIME: Duration = Duration::from_millis(700);
const GRACE: Duration = Duration::from_secs(8);
/// Time before the end of the grace period at which open requests are given up.
const GIVE_UP_LEAD: Duration = Duration::from_millis(700);

impl World {
    /// Lets a leaving router give up its open requests near the end of its grace period.
    pub fn maybe_give_up(&mut self, n: usize) {
        let node = &mut self.routers[n];
        let Some(since) = node.leaving_since.filter(|_| node.is_running() && !node.has_given_up) else { return };
        if self.now - since > GRACE - GIVE_UP_LEAD {
            node.has_given_up = true;
            self.log(|| format!("router {n} gives up its open requests"));
            self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::GiveUp));
            self.feed_router(n, RouterInput::Front(FrontInput::GiveUp));
        }
    }

    /// Stops a leaving router as the real program does: once the time for last calls has passed and nothing is open,
    /// or when the grace period ends.
    pub fn end_leaving(&mut self, n: usize) {
        let (Some(since), Some(process)) = (self.routers[n].leaving_since, &self.routers[n].process) else { return };
        let waited = self.now - since;
        let me = self.routers[n].id;
        let handed_over = process.follower.membership().member(me).is_none_or(|line| line.leaving != 0);
        let idle = process.front.request_count() == 0 && process.owner.is_idle();
        if (waited > MIN_LEAVE_TIME && handed_over && idle) || waited > GRACE {
            let depths = (process.front.request_count(), process.owner.depths());
            self.log(|| format!("router {n} stops, open: {depths:?}"));
            if !idle && self.plan.sort == Sort::Planned && self.now < self.plan.final_fault {
                self.rules.report_violation(self.now, format!("router {n} left with work open"));
            }
            self.kill_router(n);
            let back = Duration::from_millis(self.rng.random_range(300..3000));
            self.schedule_after(back, Event::Repair { repair: crate::faults::Repair::StartRouter(n) });
        }
    }
}
