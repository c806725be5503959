//! The requests for credits that are not answered yet.

use crate::limits::ConsumerId;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// A granter that has not answered for so long is passed over.
const UNANSWERED_AFTER: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Awaited,
    /// Another granter is asked in its place; an answer is still taken.
    Late,
    /// Its granter is passed over for a while.
    Unanswered,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) consumer: ConsumerId,
    pub(crate) granter: NodeId,
    pub(crate) sent_at: Duration,
    /// When the credits that it asks for expire.
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

/// Requests by number.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    requests: BTreeMap<u64, OpenRequest>,
}

impl OpenRequests {
    pub(crate) fn insert(&mut self, number: u64, request: OpenRequest) {
        self.requests.insert(number, request);
    }

    /// Takes out the one that this granter answers.
    pub(crate) fn take(&mut self, number: u64, granter: NodeId) -> Option<OpenRequest> {
        self.requests.get(&number).filter(|request| request.granter == granter)?;
        self.requests.remove(&number)
    }

    /// Those of a granter that are awaited count as late from now on. Returns their numbers and consumers.
    pub(crate) fn give_up_granter(&mut self, granter: NodeId) -> Vec<(u64, ConsumerId)> {
        self.give_up(|request| request.granter == granter)
    }

    /// The same for those that were sent so long ago.
    pub(crate) fn give_up_late(&mut self, now: Duration, timeout: Duration) -> Vec<(u64, ConsumerId)> {
        self.give_up(|request| now >= request.sent_at + timeout)
    }

    /// The granters of requests that have just become unanswered. Those whose credits have expired too are forgotten.
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
