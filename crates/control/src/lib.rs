//! The control plane as a library: what the chain's entries mean (`apply`), the tail's duties and
//! the answers to routers and operators (`Core`, a state machine), and the service around it:
//! HTTP for operators, the optimizer on its own thread, links, disk.

mod api;
mod api_calls;
mod api_views;
mod apply;
mod apply_change;
mod apply_member;
mod apply_task;
mod control_loop;
mod core;
mod dialect;
mod duties;
mod errors;
mod following;
mod judging;
mod keys;
mod membership_log;
mod membership_updates;
mod operators;
mod optimizer;
mod parts;
mod planner;
mod proposals;
mod pushes;
mod reading;
mod routers;
mod service;
mod settings;
mod status;
mod tenure;

pub use api_calls::{ApiCall, ApiReply};
pub use apply::apply;
pub use core::{Core, CoreInput, CoreOutput, CoreTiming};
pub use dialect::{ControlDialect, MakePages, Operators};
pub use errors::RunError;
pub use keys::{member_key, number};
pub use membership_log::{MemberChange, MembershipLog};
pub use planner::{Planned, Planner};
pub use service::{ControlMessage, run};
pub use settings::RegistrySettings;
