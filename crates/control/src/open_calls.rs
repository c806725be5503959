//! Operators' calls that are not answered yet.

use crate::api_calls::ApiCall;
use std::collections::BTreeMap;
use std::time::Duration;

/// A call to be answered from this registry's state once that is new enough.
pub struct DeferredCall {
    /// The call's number.
    pub request_id: u64,
    /// The call.
    pub call: ApiCall,
    /// When it is answered all the same, or refused.
    pub due: Duration,
}

/// A change that is appended, and is answered once its epoch is in force.
pub struct AwaitedActivation {
    /// The call's number.
    pub request_id: u64,
    /// The operation's id.
    pub op: String,
    /// The epoch it became.
    pub step: u64,
    /// The revision it declared.
    pub revision: u64,
    /// When it is answered as unknown.
    pub due: Duration,
}

/// A read of the whole configuration from the tail, page by page and all of one epoch.
pub struct ConfigurationRead {
    /// The number under which the newest page was requested; answers to earlier requests are not for it.
    pub page_request_id: u64,
    /// The tenant that is read, or none for all.
    pub scope: String,
    /// The epoch of the pages so far.
    pub step: Option<u64>,
    /// What has arrived.
    pub pairs: BTreeMap<String, Vec<u8>>,
    /// When the newest page was requested.
    pub requested_at: Duration,
    /// When it is given up.
    pub due: Duration,
}

/// All of them.
#[derive(Default)]
pub struct OpenCalls {
    /// Calls that wait for this registry to catch up.
    pub deferred: Vec<DeferredCall>,
    /// Changes that wait for their epoch.
    pub activations: Vec<AwaitedActivation>,
    /// Reads by call.
    pub reads: BTreeMap<u64, ConfigurationRead>,
    /// The newest epoch that is known here to be in force.
    pub active_step: u64,
}

impl OpenCalls {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.deferred.len() + self.activations.len() + self.reads.len()
    }

    /// Takes out the changes that are in force with an epoch.
    pub fn take_activated(&mut self, step: u64) -> Vec<AwaitedActivation> {
        self.activations.extract_if(.., |waiting| waiting.step <= step).collect()
    }

    /// Takes out the changes that waited too long.
    pub fn take_overdue_activations(&mut self, now: Duration) -> Vec<AwaitedActivation> {
        self.activations.extract_if(.., |waiting| now > waiting.due).collect()
    }
}
