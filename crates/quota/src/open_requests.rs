//! Credit requests that are not answered yet.

use crate::limits::ConsumerId;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Time without an answer after which the granter is skipped.
const UNANSWERED_AFTER: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The answer is awaited.
    Awaited,
    /// Another granter is asked instead; an answer is still accepted.
    Late,
    /// The granter is skipped for a while.
    Unanswered,
}

/// Credit request that is not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) consumer: ConsumerId,
    pub(crate) granter: NodeId,
    pub(crate) sent_at: Duration,
    /// Expiry time of the requested credits.
    pub(crate) expires_at: Duration,
    progress: Progress,
}

impl OpenRequest {
    pub(crate) fn new(consumer: ConsumerId, granter: NodeId, sent_at: Duration, expires_at: Duration) -> OpenRequest {
        OpenRequest { consumer, granter, sent_at, expires_at, progress: Progress::Awaited }
    }

    fn is_unanswered(&self, now: Duration) -> bool {
        now >= self.sent_at + UNANSWERED_AFTER
    }
}

/// Open requests by number.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    requests: BTreeMap<u64, OpenRequest>,
}

impl OpenRequests {
    pub(crate) fn insert(&mut self, number: u64, request: OpenRequest) {
        self.requests.insert(number, request);
    }

    /// Removes the request with this number if it was sent to this granter.
    pub(crate) fn take(&mut self, number: u64, granter: NodeId) -> Option<OpenRequest> {
        self.requests.get(&number).filter(|request| request.granter == granter)?;
        self.requests.remove(&number)
    }

    /// Marks the awaited requests to a granter as late. Returns their numbers and consumers.
    pub(crate) fn give_up_granter(&mut self, granter: NodeId) -> Vec<(u64, ConsumerId)> {
        self.give_up(|request| request.granter == granter)
    }

    /// Marks the awaited requests that are older than the timeout as late. Returns their numbers and consumers.
    pub(crate) fn give_up_late(&mut self, now: Duration, timeout: Duration) -> Vec<(u64, ConsumerId)> {
        self.give_up(|request| now >= request.sent_at + timeout)
    }

    /// Returns the granters of requests that have newly become unanswered. Unanswered requests whose credits have
    /// expired are dropped.
    pub(crate) fn take_unresponsive_granters(&mut self, now: Duration) -> Vec<NodeId> {
        let mut unresponsive = Vec::new();
        for request in self.requests.values_mut().filter(|request| request.is_unanswered(now)) {
            if std::mem::replace(&mut request.progress, Progress::Unanswered) != Progress::Unanswered {
                unresponsive.push(request.granter);
            }
        }
        self.requests.retain(|_, request| now < request.expires_at || !request.is_unanswered(now));
        unresponsive
    }

    fn give_up(&mut self, should_give_up: impl Fn(&OpenRequest) -> bool) -> Vec<(u64, ConsumerId)> {
        let mut given_up = Vec::new();
        let awaited = self.requests.iter_mut().filter(|(_, request)| request.progress == Progress::Awaited);
        for (number, request) in awaited.filter(|(_, request)| should_give_up(request)) {
            request.progress = Progress::Late;
            given_up.push((*number, request.consumer));
        }
        given_up
    }
}
