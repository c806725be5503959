//! Membership by holds. `Sessions` is the tail's side: who renewed, who staged what, whose hold
//! has lapsed. `Follower` is a router's side: proofs of revision, staged steps, the roster. Both
//! are state machines; `Roster` says which router is home to which function.

mod fetch;
mod follower;
mod parts;
mod peers;
mod roster;
mod sessions;
mod standing;
mod steps;
mod ticks;

pub use follower::{Follower, FollowerInput, FollowerOutput, FollowerTiming, first_number};
pub use roster::{HASHING, MemberLine, Roster, RosterChange, mix};
pub use sessions::{Session, Sessions};
pub use standing::{Standing, StandingEvent, Standings};
