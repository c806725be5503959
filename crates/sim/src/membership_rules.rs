//! Rule on the members list: once the registries have been undisturbed for a while, a router that has long been
//! down is no longer a member, so its functions have moved to other owners.

use crate::world::{NodeRef, World};
use std::time::Duration;

/// Time without disturbance before the rule applies.
const STOOD: Duration = Duration::from_secs(5);
/// Time after which a router that is down must no longer be a member.
const DOWN: Duration = Duration::from_secs(6);

impl World {
    pub fn check_members(&mut self) {
        let now = self.now;
        let net = &self.net;
        let held_up = |n: usize| {
            let node = &self.registries[n];
            node.frozen_until > now || node.stalled_until > now || node.full
        };
        let up = self.registries.iter().map(|node| node.run_id).collect::<Vec<u64>>();
        let disturbed = !net.cuts.is_empty()
            || !net.slow_links.is_empty()
            || !net.lossy_links.is_empty()
            || self.live_registries().into_iter().any(held_up)
            || up != self.last_disturbance.1;
        if disturbed {
            self.last_disturbance = (now, up);
            return;
        }
        let tail = self.registries.iter().find_map(|node| node.core.as_ref().filter(|c| c.replica().is_current_tail()));
        let (Some(tail), true) = (tail, now > self.last_disturbance.0 + STOOD) else { return };
        let down = |n: &usize| !self.routers[*n].is_running() && now > self.routers[*n].down_since + DOWN;
        let late = (0..self.routers.len()).filter(down).find(|n| tail.has_member(self.identity(NodeRef::Router(*n)).0));
        if let Some(n) = late {
            self.rules.report_violation(now, format!("router {n} is a member though it has long been down"));
        }
    }
}
