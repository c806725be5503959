//! The control plane as a library: the effect of log entries on the replicated state (`apply`), the
//! state machine that runs the tail's duties and answers routers and operators (`Core`), and the service
//! around it: the operators' HTTP API, the optimizer on its own thread, links and disk.

mod activation;
mod api;
mod api_calls;
mod api_views;
mod apply;
mod apply_change;
mod apply_member;
mod apply_request;
mod change_validation;
mod configuration_reads;
mod control_loop;
mod control_message;
mod core;
mod deferred_calls;
mod duty_timers;
mod errors;
mod keys;
mod link_routing;
mod membership_log;
mod membership_updates;
mod open_calls;
mod operator_calls;
mod operator_pages;
mod optimizer;
mod packed_epochs;
mod pending_proposals;
mod periodic;
mod planner;
mod proposals;
mod push_state;
mod registry_metrics;
mod router_messages;
mod router_pushes;
mod router_requests;
mod service;
mod settings;
mod status;
mod tail_duties;
mod tail_role;
mod tail_tenure;

pub use api_calls::{ApiCall, ApiReply};
pub use apply::apply;
pub use control_message::ControlMessage;
pub use core::{Core, CoreInput, CoreOutput, CoreTiming};
pub use errors::RunError;
pub use keys::{member_key, read_number};
pub use membership_log::{MemberChange, MembershipLog};
pub use operator_pages::{ControlDialect, MakePages, RegistryHandle};
pub use planner::{Planner, PlannerOutput};
pub use service::run;
pub use settings::RegistrySettings;
