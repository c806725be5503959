//! Settings of a function owner.

use crate::allowances::Allowances;
use crate::memory_plan::RequestMemory;
use std::time::Duration;

/// Intervals, limits and costs that a function owner works with.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Time before a request's deadline that is left for its answer to travel back.
    pub deadline_margin: Duration,
    /// How long the owner waits for a reply of the registries before it sends a proposal again.
    pub resend_interval: Duration,
    /// Minimum time for which an operation under a key is remembered.
    pub key_window: Duration,
    /// Maximum size of an answer under a key that is recorded in the registries, in bytes of head and body.
    pub recorded_answer_bytes: usize,
    /// Whether the registries understand claims that state how long their key is kept.
    pub claims_for_ticks: bool,
    /// Maximum time for which a new owner waits for the earlier owner's table.
    pub adoption_timeout: Duration,
    /// Interval between demand samples.
    pub sample_interval: Duration,
    /// Interval at which the provider's instance list is read on behalf of all owners.
    pub list_interval: Duration,
    /// How long ordered stops and instances reported as leaving are remembered, since the provider's list lags.
    pub recent_order_ttl: Duration,
    /// Minimum time after a start was ordered before its instance counts as lost if it is not listed.
    pub start_expiry: Duration,
    /// Interval at which pending deferred requests are read from the store.
    pub deferred_read_interval: Duration,
    /// Maximum time for one attempt at a deferred request.
    pub deferred_attempt_timeout: Duration,
    /// Maximum number of queued requests per function.
    pub max_queue_length: usize,
    /// Instance starts per second that all owners together may order.
    pub starts_per_second: f64,
    /// Cost of one start, as gigabytes of memory kept for one second.
    pub start_gb_seconds: f64,
    /// Number of zones that may fail at the same time without taking all instances of a function.
    pub tolerated_zone_losses: u32,
    pub player: scaler::PlanRequestTiming,
    pub allowances: Allowances,
    /// Memory for requests that other routers forward.
    pub memory: RequestMemory,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        OwnerSettings {
            deadline_margin: Duration::from_millis(60),
            resend_interval: Duration::from_millis(700),
            key_window: Duration::from_secs(1800),
            recorded_answer_bytes: usize::MAX,
            claims_for_ticks: true,
            adoption_timeout: Duration::from_millis(1500),
            sample_interval: Duration::from_secs(15),
            list_interval: Duration::from_secs(1),
            recent_order_ttl: Duration::from_secs(30),
            start_expiry: Duration::from_secs(10),
            deferred_read_interval: Duration::from_secs(10),
            deferred_attempt_timeout: Duration::from_secs(20),
            max_queue_length: 512,
            starts_per_second: 64.0,
            start_gb_seconds: 0.2,
            tolerated_zone_losses: 1,
            player: scaler::PlanRequestTiming::default(),
            allowances: Allowances::default(),
            memory: RequestMemory::default(),
        }
    }
}
