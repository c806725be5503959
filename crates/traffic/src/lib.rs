//! The data plane as a library. `Front` meets callers and carries tasks; `Home` places the tasks
//! of the functions it is home to, starts and stops their instances, and keeps the run-once and
//! deferred promises. Both are state machines over tables of records; around them are the door,
//! the dispatcher to instances, the platform's adapter and the follower on the control thread.

mod allowances;
mod budget;
mod caller_limits;
mod control_loop;
mod control_view;
mod desk;
mod dialect;
mod door;
mod estimate;
mod faults;
mod front;
mod front_passes;
mod front_types;
mod giving_up;
mod giving_way;
mod handover;
mod holding;
mod home;
mod home_types;
mod instance;
mod inventory;
mod keeper;
mod keeping;
mod ledger;
mod letting_in;
mod load;
mod ops;
mod pass_cell;
mod passes;
mod placing;
mod plane;
mod plane_out;
mod risk;
mod scale;
mod sent_tasks;
mod service;
mod settings;
mod shelving;
mod starting;
mod status;
mod stock;
mod supply_side;
mod tuned;
mod verdicts;
mod watching;

pub use allowances::{Allowances, Most};
pub use budget::{Budget, Spent, Window};
pub use dialect::{Dialect, MakePages};
pub use dispatch::{DispatchOrder, Verdict, Words, send_to_instance};
pub use faults::RunFault;
pub use front::Front;
pub use front_types::{Call, FrontInput, FrontLimits, FrontOutput, Reply};
pub use home::Home;
pub use home_types::{HomeInput, HomeOutput, HomeTiming, Ledger, TaskId};
pub use ledger::stored_id;
pub use ops::Views;
pub use risk::Risk;
pub use service::run;
pub use settings::RouterEnv;
