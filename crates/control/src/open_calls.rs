//! Operators' calls that are not answered yet.

use crate::api_calls::ApiCall;
use std::collections::BTreeMap;
use std::time::Duration;

/// A call that is answered from this registry's state once the state is new enough.
pub struct DeferredCall {
    /// The call's request id.
    pub request_id: u64,
    /// The call itself.
    pub call: ApiCall,
    /// When the call is answered even if the state is not new enough.
    pub due: Duration,
}

/// A committed change that is answered once its epoch is in force.
pub struct AwaitedActivation {
    /// The call's request id.
    pub request_id: u64,
    /// The operation's id.
    pub op: String,
    /// The change's epoch.
    pub step: u64,
    /// The change's revision.
    pub revision: u64,
    /// When the change is answered with an unknown outcome.
    pub due: Duration,
}

/// A read of the whole configuration from the tail, in pages that all belong to one epoch.
pub struct ConfigurationRead {
    /// The request id of the newest page; answers to earlier requests are ignored.
    pub page_request_id: u64,
    /// The tenant whose configuration is read, or empty for all.
    pub scope: String,
    /// The epoch of the pages so far.
    pub step: Option<u64>,
    /// The resources received so far.
    pub pairs: BTreeMap<String, Vec<u8>>,
    /// When the newest page was requested.
    pub requested_at: Duration,
    /// When the read is given up.
    pub due: Duration,
}

/// All open calls.
#[derive(Default)]
pub struct OpenCalls {
    /// Calls that wait for this registry to catch up.
    pub deferred: Vec<DeferredCall>,
    /// Changes that wait for their epoch.
    pub activations: Vec<AwaitedActivation>,
    /// Configuration reads by the number of their call.
    pub reads: BTreeMap<u64, ConfigurationRead>,
    /// The newest epoch known to be in force.
    pub active_step: u64,
}

impl OpenCalls {
    /// Returns the number of open calls.
    pub fn len(&self) -> usize {
        self.deferred.len() + self.activations.len() + self.reads.len()
    }

    /// Removes and returns the changes that are in force once an epoch is.
    pub fn take_activated(&mut self, step: u64) -> Vec<AwaitedActivation> {
        self.activations.extract_if(.., |waiting| waiting.step <= step).collect()
    }

    /// Removes and returns the changes that are past their deadline.
    pub fn take_overdue_activations(&mut self, now: Duration) -> Vec<AwaitedActivation> {
        self.activations.extract_if(.., |waiting| now > waiting.due).collect()
    }
}
