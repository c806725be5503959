//! How many homes a function may have had lately, as its rosters tell: what a home may spend that does
//! not know what the homes before it spent depends on how many of those there may have been.

use leases::Roster;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Homes of one function that may have spent within a window, this one not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierHomes {
    AtMost(u32),
    /// This machine has not followed the rosters for a whole window.
    Unknown,
}

/// The rosters of the last window, oldest first, and the one that was in force before them.
pub struct RosterHistory {
    window: Duration,
    rosters: VecDeque<(Duration, Rc<Roster>)>,
}

impl RosterHistory {
    pub fn new(window: Duration) -> RosterHistory {
        RosterHistory { window, rosters: VecDeque::new() }
    }

    pub fn add(&mut self, now: Duration, roster: Rc<Roster>) {
        self.rosters.push_back((now, roster));
        while self.rosters.get(1).is_some_and(|(since, _)| now > *since + self.window) {
            self.rosters.pop_front();
        }
    }

    /// A roster that was skipped may have named any home, and one whose home came back under a new
    /// incarnation names a home that knows nothing.
    pub fn earlier_homes(&self, now: Duration, function: &str) -> EarlierHomes {
        let followed = self.rosters.front().is_some_and(|(since, _)| now > *since + self.window);
        if !followed {
            return EarlierHomes::Unknown;
        }
        let home = |roster: &Roster| {
            let id = roster.home(function)?;
            roster.member(id).map(|line| (id, line.incarnation))
        };
        let changes = self.rosters.iter().zip(self.rosters.iter().skip(1)).map(|((_, before), (since, after))| {
            let steps = after.number.saturating_sub(before.number) as u32;
            match steps {
                _ if now > *since + self.window => 0,
                1 => u32::from(home(before) != home(after)),
                _ => steps,
            }
        });
        EarlierHomes::AtMost(changes.sum())
    }
}
