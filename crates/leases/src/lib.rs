//! Lease-based membership of routers. [`Sessions`] is the state at the tail of the registry chain: which routers
//! renewed, which epoch each has staged, whose lease has expired. [`Follower`] is the state of one router: its epochs,
//! its lease and the membership. Both are state machines without I/O. [`Membership`] assigns functions to routers.

#![warn(missing_docs)]

mod configuration_fetch;
mod epochs;
mod follower;
mod follower_types;
mod lease;
mod membership;
mod part_transfer;
mod peer_messages;
mod peer_quorum;
mod registry_messages;
mod renewal;
mod serving_status;
mod sessions;

pub use follower::{Follower, first_request_number};
pub use follower_types::{DEFAULT_PEER_HOLD, FollowerInput, FollowerOutput, FollowerTiming};
pub use membership::{HASHING_VERSION, Member, Membership, MembershipChange, stable_hash};
pub use serving_status::{ServingEvent, ServingStateMachine, ServingStatus};
pub use sessions::{ActivationBlocker, GrantedLease, LeaseBounds, Session, Sessions};
