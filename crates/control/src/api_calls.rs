//! What an operator can ask of a registry, and the reply as a status, a tag and a JSON body.

use wire::ItemLine;

#[derive(Clone, Debug)]
pub enum ApiCall {
    Change {
        op: String,
        base: Option<u64>,
        /// The number the change declares for its revision; without, it gets the next.
        revision: Option<u64>,
        whole: bool,
        scope: String,
        items: Vec<ItemLine>,
        dry: bool,
    },
    /// The latest revision, in force or not, and some of its resources as this registry has them.
    Latest {
        keys: Vec<String>,
    },
    Configuration {
        scope: String,
    },
    Operation {
        op: String,
    },
    Status,
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
