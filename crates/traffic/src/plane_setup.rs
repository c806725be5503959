//! What the data plane is built from. The parts can be sent to the thread on which the data plane then runs.

use crate::caller_limits::CallerLimits;
use crate::data_plane::DataPlane;
use crate::declared_views::DeclaredViews;
use crate::front::Front;
use crate::front_types::FrontLimits;
use crate::function_owner::FunctionOwner;
use crate::memory_plan::MemoryPlan;
use crate::memory_watch::MemoryWatch;
use crate::owner_settings::OwnerSettings;
use crate::serving_lease::ServingLease;
use crate::stop_stage::StopStage;
use http_server::{ResourceIndex, ShortageReporter};
use kernel::{Directory, find};
use std::collections::BTreeMap;
use std::time::Instant;
use tokio::sync::watch;
use wire::NodeId;

/// Parts of the data plane.
pub struct PlaneSetup {
    pub me: NodeId,
    pub incarnation: u64,
    pub started_at: Instant,
    pub front_limits: FrontLimits,
    pub owner_settings: OwnerSettings,
    pub lease: ServingLease,
    pub view: watch::Sender<String>,
    /// Limits from the settings, and the sender of the limits in force.
    pub caller_limits: (CallerLimits, watch::Sender<CallerLimits>),
    /// `None` if no token is configured, so that nobody may read the views.
    pub index: Option<watch::Sender<ResourceIndex>>,
    /// Division of the router's memory.
    pub memory: MemoryPlan,
    /// Tells how many connections of callers gave way.
    pub shortages: ShortageReporter,
    /// Stage of a planned stop, set by the control thread.
    pub stop_stage: watch::Receiver<StopStage>,
}

impl PlaneSetup {
    /// Builds the data plane, which finds the inboxes of links, dispatcher and platform by name.
    pub fn build(self, directory: &Directory) -> DataPlane {
        DataPlane {
            me: self.me,
            started_at: self.started_at,
            lease: self.lease,
            front: Front::new(self.me, self.incarnation, self.front_limits),
            owner: FunctionOwner::new(self.me, self.incarnation, self.owner_settings),
            memory: self.memory,
            memory_watch: MemoryWatch::default(),
            shortages: self.shortages,
            links: find(directory, "links"),
            dispatcher: find(directory, "dispatcher"),
            platform: find(directory, "platform"),
            view: self.view,
            caller_limits: self.caller_limits,
            declared_views: self.index.map(DeclaredViews::new),
            epoch: 0,
            tail: None,
            registries: Vec::new(),
            open_calls: BTreeMap::new(),
            status_queries: BTreeMap::new(),
            last_request_id: 0,
            stop_stage: self.stop_stage,
            entered_stage: StopStage::Serving,
            has_closed_callers: false,
            outcome_counts: BTreeMap::new(),
        }
    }
}
