//! Simulated router.

use super::network::QuotaMessage;
use quota::{QuotaBounds, QuotaGranter, QuotaMeter};
use std::collections::VecDeque;
use std::time::Duration;
use wire::NodeId;

/// Request that waits for a credit.
#[derive(Clone, Copy)]
pub struct Waiting {
    pub consumer: usize,
    /// Whether the consumer was within its limit when the request arrived, and the request could have been served.
    pub is_within_limit: bool,
    pub expires_at: Duration,
}

pub struct Node {
    /// Whether the router is a member and receives callers' requests.
    pub is_serving: bool,
    pub has_lease: bool,
    pub is_frozen: bool,
    pub started_at: Duration,
    pub incarnation: u64,
    pub meter: QuotaMeter,
    pub granter: QuotaGranter,
    pub waiting: VecDeque<Waiting>,
    /// Messages received while the router was frozen.
    pub held_messages: Vec<(usize, QuotaMessage)>,
}

impl Node {
    pub fn new(id: NodeId, now: Duration, bounds: QuotaBounds) -> Node {
        // Pseudo-random as in real routers: a later incarnation may have a lower number.
        let incarnation = (1 + now.as_millis() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 8;
        Node {
            is_serving: false,
            has_lease: false,
            is_frozen: false,
            started_at: now,
            incarnation,
            meter: QuotaMeter::new(id, incarnation, bounds),
            granter: QuotaGranter::new(id, incarnation, bounds),
            waiting: VecDeque::new(),
            held_messages: Vec::new(),
        }
    }

    pub fn takes_requests(&self) -> bool {
        self.is_serving && !self.is_frozen
    }

    /// Handles a message. Returns the reply, if there is one.
    pub fn receive(&mut self, now: Duration, from: NodeId, message: &QuotaMessage) -> Option<QuotaMessage> {
        let now = now - self.started_at;
        match message {
            QuotaMessage::Request(request) => {
                Some(QuotaMessage::Grant(self.granter.handle_request(now, self.has_lease, request)))
            }
            QuotaMessage::Query(query) => Some(QuotaMessage::Reply(self.granter.handle_query(now, query))),
            QuotaMessage::Grant(grant) => {
                self.meter.handle_grant(now, from, grant);
                None
            }
            QuotaMessage::Reply(reply) => {
                self.granter.handle_reply(now, from, reply);
                None
            }
        }
    }
}
