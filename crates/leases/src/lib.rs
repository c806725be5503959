//! Membership by holds. `Sessions` is the tail's side: who renewed, who staged what, whose hold
//! has lapsed. `Follower` is a router's side: proofs of revision, staged steps, the membership. Both
//! are state machines; `Membership` says which router owns which function.

mod configuration_fetch;
mod epochs;
mod follower;
mod lease;
mod membership;
mod peer_quorum;
mod registry_messages;
mod renewal;
mod serving_status;
mod sessions;
mod step_parts;

pub use follower::{Follower, FollowerInput, FollowerOutput, FollowerTiming, first_number};
pub use membership::{HASHING, Member, Membership, MembershipChange, mix};
pub use serving_status::{ServingEvent, ServingStateMachine, ServingStatus};
pub use sessions::{GrantedLease, Session, Sessions};
