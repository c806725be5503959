//! Operations under a key that this owner knows: which request runs each, which repeats wait for it, and the latest
//! answers. A repeat of a known operation needs no request to the registries. For an operation that is not known here,
//! only the registries can tell whether its key is free.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::StoredAnswer;

/// Maximum size of the answers kept in memory; the oldest are dropped first.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Memory that an answer takes besides its head, its body and two copies of its scope.
const ANSWER_OVERHEAD_BYTES: usize = 192;

/// Result of joining the operation of a key.
#[derive(Debug, PartialEq, Eq)]
pub enum JoinResult {
    /// The key had no operation: the request now leads it.
    Leads,
    /// The operation is in progress, and the request waits for it.
    Waits,
    /// Another request is in progress under the same key; only the registries can tell which of the two holds it.
    Contested,
    /// The operation has ended with this answer.
    Answered(StoredAnswer),
    /// The key was already used for another request.
    OtherRequest,
}

struct Operation {
    digest: Vec<u8>,
    state: OperationState,
}

enum OperationState {
    Running { leader: u64, waiting: Vec<u64> },
    Answered { answer: StoredAnswer },
}

struct Expiry {
    at: Duration,
    scope: String,
}

/// Known operations by scope, which is the binding and the key.
#[derive(Default)]
pub struct KeyedOperations {
    operations: BTreeMap<String, Operation>,
    /// Expiries of the answered operations, in the order of their answers.
    expiries: VecDeque<Expiry>,
    answer_bytes: usize,
}

fn kept_bytes(scope: &str, answer: &StoredAnswer) -> usize {
    2 * scope.len() + answer.head.as_slice().len() + answer.body.as_slice().len() + ANSWER_OVERHEAD_BYTES
}

impl KeyedOperations {
    /// Joins the operation of a key with a request. If the request waits, [`KeyedOperations::end`] returns it when its
    /// leader ends.
    pub fn join(&mut self, now: Duration, scope: &str, digest: &[u8], number: u64) -> JoinResult {
        self.expire(now);
        let Some(operation) = self.operations.get_mut(scope) else {
            let state = OperationState::Running { leader: number, waiting: Vec::new() };
            self.operations.insert(scope.to_owned(), Operation { digest: digest.to_vec(), state });
            return JoinResult::Leads;
        };
        let same = operation.digest == digest;
        match &mut operation.state {
            OperationState::Running { waiting, .. } if same => {
                waiting.push(number);
                JoinResult::Waits
            }
            OperationState::Running { .. } => JoinResult::Contested,
            OperationState::Answered { answer } if same => JoinResult::Answered(answer.clone()),
            OperationState::Answered { .. } => JoinResult::OtherRequest,
        }
    }

    /// Ends the operation that a request leads, and returns the requests that waited for it. An answer that may be
    /// repeated is kept until the given time. A request that only waits is removed.
    pub fn end(&mut self, scope: &str, number: u64, answer: Option<(StoredAnswer, Duration)>) -> Vec<u64> {
        let Some(operation) = self.operations.get_mut(scope) else { return Vec::new() };
        let OperationState::Running { leader, waiting } = &mut operation.state else { return Vec::new() };
        if *leader != number {
            waiting.retain(|waits| *waits != number);
            return Vec::new();
        }
        let waiting = std::mem::take(waiting);
        match answer {
            Some((answer, until)) => {
                self.answer_bytes += kept_bytes(scope, &answer);
                operation.state = OperationState::Answered { answer };
                self.expiries.push_back(Expiry { at: until, scope: scope.to_owned() });
                self.shrink();
            }
            None => drop(self.operations.remove(scope)),
        }
        waiting
    }

    /// Returns the number of operations in progress.
    pub fn running(&self) -> usize {
        self.operations.len() - self.expiries.len()
    }

    /// Returns the number of answers kept.
    pub fn answers(&self) -> usize {
        self.expiries.len()
    }

    /// Returns the memory that the kept answers take, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Drops answers that have expired.
    pub fn expire(&mut self, now: Duration) {
        while self.expiries.front().is_some_and(|expiry| now >= expiry.at) {
            self.forget_oldest_answer();
        }
    }

    fn shrink(&mut self) {
        while self.answer_bytes > MAX_ANSWER_BYTES && !self.expiries.is_empty() {
            self.forget_oldest_answer();
        }
    }

    fn forget_oldest_answer(&mut self) {
        let Some(Expiry { scope, .. }) = self.expiries.pop_front() else { return };
        if let Some(Operation { state: OperationState::Answered { answer }, .. }) = self.operations.remove(&scope) {
            self.answer_bytes = self.answer_bytes.saturating_sub(kept_bytes(&scope, &answer));
        }
    }
}

#[cfg(test)]
#[path = "keyed_operations_tests.rs"]
mod tests;
