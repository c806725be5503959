//! Simulated network: delays, losses, partitions and traffic counts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaRequest, to_bytes};

/// Overhead per message: the frame around the record, and the TCP and IP headers.
const FRAME_BYTES: usize = 100;

#[derive(Clone)]
pub enum QuotaMessage {
    Request(QuotaRequest),
    Grant(QuotaGrant),
    Query(QuotaGrantersQuery),
    Reply(QuotaGrantersReply),
}

impl QuotaMessage {
    fn bytes(&self) -> usize {
        let record = match self {
            QuotaMessage::Request(request) => to_bytes(request),
            QuotaMessage::Grant(grant) => to_bytes(grant),
            QuotaMessage::Query(query) => to_bytes(query),
            QuotaMessage::Reply(reply) => to_bytes(reply),
        };
        record.len() + FRAME_BYTES
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Network {
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Longest delay of a message.
    pub longest_delay: Duration,
    pub traffic: BTreeMap<usize, Traffic>,
    /// Routers on one side of a partition.
    pub partition: BTreeSet<usize>,
}

impl Default for Network {
    fn default() -> Network {
        let longest_delay = Duration::from_millis(50);
        Network { loss: 0.0, longest_delay, traffic: BTreeMap::new(), partition: BTreeSet::new() }
    }
}

impl Network {
    /// Whether messages between two routers arrive.
    pub fn connects(&self, from: usize, to: usize) -> bool {
        self.partition.contains(&from) == self.partition.contains(&to)
    }

    /// Returns the delay of a message, or `None` if it is lost.
    pub fn delay(
        &mut self,
        random: &mut ChaCha8Rng,
        from: usize,
        to: usize,
        message: &QuotaMessage,
    ) -> Option<Duration> {
        if from == to {
            return Some(Duration::ZERO);
        }
        for n in [from, to] {
            let traffic = self.traffic.entry(n).or_default();
            traffic.messages += 1;
            traffic.bytes += message.bytes() as u64;
        }
        let is_lost = random.random::<f64>() < self.loss || !self.connects(from, to);
        let delay_s = random.random_range(0.001..self.longest_delay.as_secs_f64());
        (!is_lost).then(|| Duration::from_secs_f64(delay_s))
    }
}
