//! Operators' calls to a registry, and replies with a status, a revision tag and a JSON body.

use wire::ConfigurationItem;

/// A call of an operator.
#[derive(Clone, Debug)]
pub enum ApiCall {
    /// Changes the configuration, or validates a change if `dry` is set.
    Change {
        /// The operation id.
        op: String,
        /// The revision that the change is based on, or none to accept whichever is the latest.
        base: Option<u64>,
        /// The revision that the change declares, or none for the next one.
        revision: Option<u64>,
        /// Whether all other resources in the scope are removed.
        full: bool,
        /// The tenant whose resources may be changed, or empty for all tenants.
        scope: String,
        /// The resources that are set and removed.
        items: Vec<ConfigurationItem>,
        /// Whether the change is only validated.
        dry: bool,
    },
    /// Reads the latest revision committed at this registry, in force or not, and some of its resources. Answered
    /// once that revision is at least `revision`, or after a short wait.
    Latest { keys: Vec<String>, revision: u64 },
    /// Reads the active configuration of a tenant.
    Configuration { scope: String },
    /// Looks up the outcome of an operation.
    Operation { op: String },
    /// Counts and logs a change that was refused as invalid, by the core or by a page.
    NoteInvalid { fault: String },
    /// Reads this registry's status.
    Status,
}

impl ApiCall {
    /// Returns the revision that must be committed here before the call can be answered from this registry's state.
    pub(crate) fn required_revision(&self) -> Option<u64> {
        match self {
            ApiCall::Latest { revision, .. } => Some(*revision),
            ApiCall::Change { dry: true, base, .. } => Some(base.unwrap_or_default()),
            _ => None,
        }
    }
}

/// A reply to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiReply {
    /// The HTTP status.
    pub status: u16,
    /// The configuration's revision, sent as ETag.
    pub revision: Option<u64>,
    /// The JSON body.
    pub body: String,
    /// Seconds after which the call may be repeated.
    pub retry_after: Option<u32>,
}

impl ApiReply {
    /// Creates a reply with a status and a body.
    pub fn new(status: u16, body: serde_json::Value) -> Self {
        ApiReply { status, revision: None, body: body.to_string(), retry_after: None }
    }
}
