//! What an operator can ask of a registry, and the reply as a status, a tag and a JSON body.

use wire::ConfigurationItem;

#[derive(Clone, Debug)]
pub enum ApiCall {
    Change {
        op: String,
        base: Option<u64>,
        /// The number the change declares for its revision; without, it gets the next.
        revision: Option<u64>,
        full: bool,
        scope: String,
        items: Vec<ConfigurationItem>,
        dry: bool,
    },
    /// The latest revision, in force or not, and some of its resources, as far as this registry knows
    /// them to be committed. It is answered once that revision is at least `revision`.
    Latest {
        keys: Vec<String>,
        revision: u64,
    },
    Configuration {
        scope: String,
    },
    Operation {
        op: String,
    },
    /// A change was refused as invalid, here or by the pages it was sent to: it is counted and logged.
    NoteInvalid {
        fault: String,
    },
    Status,
}

impl ApiCall {
    /// The revision that must be committed here before the call can be judged by this registry's state.
    pub(crate) fn builds_on(&self) -> Option<u64> {
        match self {
            ApiCall::Latest { revision, .. } => Some(*revision),
            ApiCall::Change { dry: true, base, .. } => Some(base.unwrap_or_default()),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiReply {
    pub status: u16,
    pub revision: Option<u64>,
    pub body: String,
    pub retry_after: Option<u32>,
}

impl ApiReply {
    pub fn new(status: u16, body: serde_json::Value) -> Self {
        ApiReply { status, revision: None, body: body.to_string(), retry_after: None }
    }
}
