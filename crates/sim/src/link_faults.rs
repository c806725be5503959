//! Links that lose packets, and routers whose connections are all reset. A kept connection shows a lost packet as a
//! delay until it is sent again, behind which all later frames wait, and a burst of losses as a reset.

use crate::follow_ups::FollowUp;
use crate::router_node::Turn;
use crate::world::{Event, Place, World};
use rand::RngExt;
use std::time::Duration;
use traffic::{DispatchOutcome, FrontInput};

/// One link in so many loses packets.
const LOSSY_LINKS: u32 = 4;
/// How many frames of a lossy link in a hundred wait for a packet to be sent again.
const DELAYED_FRAMES: u32 = 8;
/// How long a packet takes that is sent again once, or a few times.
const SENT_AGAIN_MS: std::ops::Range<u64> = 200..1200;
/// How often a lossy link is reset.
const RESET_PAUSE_MS: std::ops::Range<u64> = 500..6000;
/// When a caller whose connection was reset asks again.
const ASKED_AGAIN_MS: std::ops::Range<u64> = 10..400;
const FURTHER_TRIES: u32 = 3;

impl World {
    /// Some pairs of machines have a lossy link for a while. Says how long it lasts until what was delayed is there.
    pub(crate) fn lose_packets(&mut self, lasts: Duration) -> Duration {
        let places = self.places();
        let until = self.now + lasts;
        for (index, a) in places.iter().enumerate() {
            for b in &places[index + 1..] {
                if self.dice.random_ratio(1, LOSSY_LINKS) {
                    self.say(|| format!("{a:?} and {b:?} have a lossy link"));
                    self.net.lossy.extend([((*a, *b), until), ((*b, *a), until)]);
                    self.reset_lossy_link_later((*a, *b));
                }
            }
        }
        let all_there = lasts + Duration::from_millis(SENT_AGAIN_MS.end);
        self.after(all_there, Event::Mend { what: crate::faults::Mending::EndLosses });
        all_there
    }

    /// Links whose last delayed frames have arrived are as they were.
    pub(crate) fn end_losses(&mut self) {
        let now = self.now;
        self.net.lossy.retain(|_, until| *until + Duration::from_millis(SENT_AGAIN_MS.end) > now);
    }

    /// What a frame waits for a packet of its link to be sent again.
    pub(crate) fn delay_by_losses(&mut self, from: Place, to: Place) -> Duration {
        let is_lossy = self.is_lossy((from, to));
        if is_lossy && self.dice.random_ratio(DELAYED_FRAMES, 100) {
            return Duration::from_millis(self.dice.random_range(SENT_AGAIN_MS));
        }
        Duration::ZERO
    }

    fn is_lossy(&self, link: (Place, Place)) -> bool {
        self.net.lossy.get(&link).is_some_and(|until| *until > self.now)
    }

    fn reset_lossy_link_later(&mut self, link: (Place, Place)) {
        let wait = self.ms(RESET_PAUSE_MS.start, RESET_PAUSE_MS.end);
        self.follow_up(wait, FollowUp::ResetLossyLink { link });
    }

    pub(crate) fn reset_lossy_link(&mut self, (a, b): (Place, Place)) {
        if self.is_lossy((a, b)) {
            self.break_connection(a, b);
            self.break_connection(b, a);
            self.reset_lossy_link_later((a, b));
        }
    }

    /// All that a router holds is reset: the links to other machines, callers' connections, and those to instances.
    pub(crate) fn reset_connections_of(&mut self, router: usize) {
        let me = Place::Router(router);
        self.say(|| format!("all connections of router {router} are reset"));
        for other in self.places().into_iter().filter(|other| *other != me) {
            self.break_connection(me, other);
            self.break_connection(other, me);
        }
        for work in self.yard.work.values_mut().filter(|work| work.router == router && !work.instance.is_empty()) {
            work.outcome = DispatchOutcome::InDoubt { detail: "the connection was reset".into(), timed_out: false };
        }
        self.reset_callers_of(router);
    }

    /// Callers learn no outcome, and ask again under the same idempotency key.
    fn reset_callers_of(&mut self, router: usize) {
        let open: Vec<_> = self.callers.open.extract_if(.., |(at, _), _| *at == router).collect();
        for ((_, request_id), mut task) in open {
            self.callers.lost += 1;
            let wait = self.ms(ASKED_AGAIN_MS.start, ASKED_AGAIN_MS.end);
            self.callers.next += 1;
            let number = self.callers.next;
            if task.resends < FURTHER_TRIES {
                task.resends += 1;
                task.label = format!("{}#{}", task.key, task.resends);
                task.begun = self.now + wait;
                task.caller.api_key = self.key_for_repeat(&task.caller);
                self.callers.again.insert(number, task);
                self.after(wait, Event::CallerRetry { task: number });
            }
            self.turn(router, Turn::Front(FrontInput::CallerGone { request_id }));
        }
    }

    /// One consumer sends many times its usual for a while.
    pub(crate) fn heat_consumer(&mut self, lasts: Duration) {
        let consumer = self.dice.random_range(0..crate::consumers::CONSUMERS);
        self.say(|| format!("{} sends many times its usual", crate::consumers::consumer_name(consumer)));
        self.key_book.hot = Some((consumer, self.now + lasts));
    }
}
