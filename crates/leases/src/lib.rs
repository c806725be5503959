//! Membership by leases. [`Sessions`] is the tail's side: who renewed, who staged which epoch, whose lease has run out.
//! [`Follower`] is a router's side: its epochs, its lease and the membership. Both are state machines without I/O.
//! [`Membership`] says which router owns which function.

#![warn(missing_docs)]

mod configuration_fetch;
mod epochs;
mod follower;
mod follower_types;
mod lease;
mod membership;
mod peer_messages;
mod peer_quorum;
mod registry_messages;
mod renewal;
mod serving_status;
mod sessions;
mod step_parts;

pub use follower::{Follower, first_number};
pub use follower_types::{DEFAULT_PEER_HOLD, FollowerInput, FollowerOutput, FollowerTiming};
pub use membership::{HASHING, Member, Membership, MembershipChange, mix};
pub use serving_status::{ServingEvent, ServingStateMachine, ServingStatus};
pub use sessions::{ActivationBlocker, GrantedLease, LeaseBounds, Session, Sessions};
