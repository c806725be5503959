//! Resources that operators declare: function bindings, weight sheets, headcount plans, functions, bounds on callers,
//! and consumers with their API keys. Each is stored under the key `kind/tenant/name`. A configuration is checked as a
//! whole, and every fault is reported with its path.

#![warn(missing_docs)]

mod check;
mod check_fields;
mod consumer_index;
mod consumers;
mod declarations;
mod resources;
mod routes;
mod routing;
mod tuning;

pub use check::{ConfigurationError, check, check_name};
pub use consumer_index::ConsumerIndex;
pub use consumers::Consumer;
pub use declarations::{CallerBounds, FunctionDeclaration};
pub use resources::{Class, FunctionBinding, HeadcountPlan, Kind, WeightSheet};
pub use routing::{Function, RouteTable};
pub use tuning::{Span, Tuning, TuningBounds};
