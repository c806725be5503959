//! How far one router may go on admitting requests of a consumer beyond what the aggregator has confirmed: a small
//! token bucket, filled anew by each answer and refilled by the router's share of the rate while answers stay out.

use std::time::Duration;

/// Standard deviations of a Poisson count that a router's own arrivals may lie above what is usual.
const DEVIATIONS: f64 = 1.5;
/// A router that has seen nothing of a consumer lately may admit two requests of it: two that come close together are usual.
const AT_LEAST: f64 = 2.0;

/// While no answers come, what room there is is spent over so long.
const SPENT_IN_S: f64 = 1.0;

/// The room that a router has until it hears more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunAhead {
    room: f64,
    most: f64,
    per_s: f64,
    at: Duration,
}

/// What the room follows from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomBasis {
    /// The router's share of the consumer's demand.
    pub(crate) share: f64,
    /// What is left in the consumer's bucket.
    pub(crate) level: f64,
    /// Requests a second that all routers together may expect to admit.
    pub(crate) due_per_s: f64,
    /// How long it may be until the next answer.
    pub(crate) horizon: Duration,
    /// Requests a second by which the room grows meanwhile.
    pub(crate) refill_per_s: f64,
}

impl RunAhead {
    pub(crate) fn new(now: Duration, basis: RoomBasis) -> RunAhead {
        let most = most(basis);
        RunAhead { room: most, most, per_s: basis.refill_per_s, at: now }
    }

    /// An answer came that does not count `unconfirmed` requests yet.
    pub(crate) fn renew(&mut self, now: Duration, basis: RoomBasis, unconfirmed: f64) {
        *self = RunAhead::new(now, basis);
        self.room -= unconfirmed;
    }

    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.room = (self.room + self.per_s * elapsed).min(self.most);
        self.at = self.at.max(now);
    }

    pub(crate) fn has_room(&self) -> bool {
        self.room >= 1.0
    }

    pub(crate) fn take(&mut self) {
        self.room -= 1.0;
    }

    pub(crate) fn give_back(&mut self) {
        self.room += 1.0;
    }

    /// Requests a second that are due while no answers come: the refill, and the room dealt out.
    pub(crate) fn due_per_s(&self) -> f64 {
        self.per_s + self.room.max(0.0) / SPENT_IN_S
    }

    /// How long until there is room for one more.
    pub(crate) fn next_in(&self) -> Duration {
        let missing = (1.0 - self.room).max(0.0);
        Duration::try_from_secs_f64(missing / self.per_s).unwrap_or(Duration::MAX)
    }
}

fn most(basis: RoomBasis) -> f64 {
    let usual = basis.share * basis.due_per_s * basis.horizon.as_secs_f64();
    basis.share * basis.level.max(0.0) + usual + DEVIATIONS * usual.sqrt() + AT_LEAST
}
