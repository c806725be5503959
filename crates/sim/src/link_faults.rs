//! Links that lose packets, and routers whose connections are all reset. A kept connection shows a lost packet as a
//! delay until it is sent again, behind which all later frames wait, and a burst of losses as a reset.

use crate::follow_ups::FollowUp;
use crate::router_node::RouterInput;
use crate::world::{Event, NodeRef, World};
use rand::RngExt;
use std::time::Duration;
use traffic::{DispatchOutcome, FrontInput};

/// One link in so many loses packets.
const LOSSY_LINKS: u32 = 4;
/// How many frames of a lossy link in a hundred wait for a packet to be sent again.
const DELAYED_FRAMES: u32 = 8;
/// How long a packet takes that is sent again once, or a few times.
const RESEND_DELAY_MS: std::ops::Range<u64> = 200..1200;
/// How often a lossy link is reset.
const RESET_INTERVAL_MS: std::ops::Range<u64> = 500..6000;
/// When a caller whose connection was reset asks again.
const RETRY_DELAY_MS: std::ops::Range<u64> = 10..400;
const MAX_TRIES_AFTER_RESET: u32 = 3;

impl World {
    /// Some pairs of machines have a lossy link for a while. Says how long it lasts until what was delayed is there.
    pub(crate) fn lose_packets(&mut self, lasts: Duration) -> Duration {
        let nodes = self.nodes();
        let until = self.now + lasts;
        for (index, a) in nodes.iter().enumerate() {
            for b in &nodes[index + 1..] {
                if self.rng.random_ratio(1, LOSSY_LINKS) {
                    self.log(|| format!("{a:?} and {b:?} have a lossy link"));
                    self.net.lossy_links.extend([((*a, *b), until), ((*b, *a), until)]);
                    self.reset_lossy_link_later((*a, *b));
                }
            }
        }
        let all_there = lasts + Duration::from_millis(RESEND_DELAY_MS.end);
        self.schedule_after(all_there, Event::Repair { repair: crate::faults::Repair::EndPacketLoss });
        all_there
    }

    /// Links whose last delayed frames have arrived are as they were.
    pub(crate) fn end_packet_loss(&mut self) {
        let now = self.now;
        self.net.lossy_links.retain(|_, until| *until + Duration::from_millis(RESEND_DELAY_MS.end) > now);
    }

    /// What a frame waits for a packet of its link to be sent again.
    pub(crate) fn delay_by_losses(&mut self, from: NodeRef, to: NodeRef) -> Duration {
        let is_lossy = self.is_lossy((from, to));
        if is_lossy && self.rng.random_ratio(DELAYED_FRAMES, 100) {
            return Duration::from_millis(self.rng.random_range(RESEND_DELAY_MS));
        }
        Duration::ZERO
    }

    fn is_lossy(&self, link: (NodeRef, NodeRef)) -> bool {
        self.net.lossy_links.get(&link).is_some_and(|until| *until > self.now)
    }

    fn reset_lossy_link_later(&mut self, link: (NodeRef, NodeRef)) {
        let wait = self.random_ms(RESET_INTERVAL_MS.start, RESET_INTERVAL_MS.end);
        self.follow_up(wait, FollowUp::ResetLossyLink { link });
    }

    pub(crate) fn reset_lossy_link(&mut self, (a, b): (NodeRef, NodeRef)) {
        if self.is_lossy((a, b)) {
            self.break_connection(a, b);
            self.break_connection(b, a);
            self.reset_lossy_link_later((a, b));
        }
    }

    /// All that a router holds is reset: the links to other machines, callers' connections, and those to instances.
    pub(crate) fn reset_connections_of(&mut self, router: usize) {
        let me = NodeRef::Router(router);
        self.log(|| format!("all connections of router {router} are reset"));
        for other in self.nodes().into_iter().filter(|other| *other != me) {
            self.break_connection(me, other);
            self.break_connection(other, me);
        }
        for work in self.platform.work.values_mut().filter(|work| work.router == router && !work.instance.is_empty()) {
            work.outcome = DispatchOutcome::InDoubt { detail: "the connection was reset".into(), timed_out: false };
        }
        self.reset_callers_of(router);
    }

    /// Callers learn no outcome, and ask again under the same idempotency key.
    fn reset_callers_of(&mut self, router: usize) {
        let open: Vec<_> = self.callers.open.extract_if(.., |(at, _), _| *at == router).collect();
        for ((_, request_id), mut task) in open {
            self.callers.lost += 1;
            let wait = self.random_ms(RETRY_DELAY_MS.start, RETRY_DELAY_MS.end);
            self.callers.last_number += 1;
            let number = self.callers.last_number;
            if task.resends < MAX_TRIES_AFTER_RESET {
                task.resends += 1;
                task.label = format!("{}#{}", task.key, task.resends);
                task.started = self.now + wait;
                task.caller.api_key = self.key_for_repeat(&task.caller);
                self.callers.retries.insert(number, task);
                self.schedule_after(wait, Event::TaskRetry { task: number });
            }
            self.feed_router(router, RouterInput::Front(FrontInput::Gone { request_id }));
        }
    }

    /// One consumer sends many times its usual for a while.
    pub(crate) fn raise_consumer_rate(&mut self, lasts: Duration) {
        let consumer = self.rng.random_range(0..crate::consumers::CONSUMERS);
        self.log(|| format!("{} sends many times its usual", crate::consumers::consumer_name(consumer)));
        self.consumer_keys.hot_consumer = Some((consumer, self.now + lasts));
    }
}
