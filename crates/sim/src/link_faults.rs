//! Links that lose packets, and routers whose connections are all reset. On a persistent connection a lost packet is
//! a delay until its retransmission, which holds up all later frames, and a burst of losses is a reset.

use crate::follow_ups::FollowUp;
use crate::router_node::RouterInput;
use crate::world::{Event, NodeRef, World};
use rand::RngExt;
use std::time::Duration;
use traffic::{DispatchOutcome, FrontInput};

/// One link in this many loses packets.
const LOSSY_LINKS: u32 = 4;
/// Percentage of frames on a lossy link that wait for a retransmission.
const DELAYED_FRAMES: u32 = 8;
/// Delay of a packet that is retransmitted once or a few times.
const RESEND_DELAY_MS: std::ops::Range<u64> = 200..1200;
/// Interval between resets of a lossy link.
const RESET_INTERVAL_MS: std::ops::Range<u64> = 500..6000;
/// Delay until a caller whose connection was reset retries.
const RETRY_DELAY_MS: std::ops::Range<u64> = 10..400;
const MAX_TRIES_AFTER_RESET: u32 = 3;

impl World {
    /// Makes some links lossy for a while. Returns the time until all delayed frames have arrived.
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

    /// Ends the packet loss on links whose last delayed frames have arrived.
    pub(crate) fn end_packet_loss(&mut self) {
        let now = self.now;
        self.net.lossy_links.retain(|_, until| *until + Duration::from_millis(RESEND_DELAY_MS.end) > now);
    }

    /// Draws the delay of a frame by a retransmission on its link.
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

    /// Resets all connections of a router: to other machines, callers and instances.
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

    /// Resets callers' connections: they learn no outcome and retry under the same idempotency key.
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
            self.feed_router(router, RouterInput::Front(FrontInput::CallerGone { request_id }));
        }
    }

    /// Makes one consumer send far more requests than usual for a while.
    pub(crate) fn raise_consumer_rate(&mut self, lasts: Duration) {
        let consumer = self.rng.random_range(0..crate::consumers::CONSUMERS);
        self.log(|| format!("{} sends far more requests than usual", crate::consumers::consumer_name(consumer)));
        self.consumer_keys.hot_consumer = Some((consumer, self.now + lasts));
    }
}
