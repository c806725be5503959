//! Operations under a key that this owner knows: which request runs each, which repeats wait for it, and the answers
//! of the newest. A repeat that meets its operation here asks the registries nothing. What is not known here is only
//! unknown here: the registries say whether a key is free.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::StoredAnswer;

/// Answers are kept here up to so many bytes, the newest of them.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// What an answer takes besides its head, its body and twice its scope.
const ANSWER_OVERHEAD_BYTES: usize = 192;

/// What a request meets under its key.
#[derive(Debug, PartialEq, Eq)]
pub enum JoinResult {
    /// Nothing: the request leads the operation from now on.
    Leads,
    /// The operation is under way, and the request waits for it.
    Waits,
    /// Another request is under way under the key; only the registries can tell which of them is right.
    Contested,
    /// The operation was answered with this.
    Answered(StoredAnswer),
    /// The key was used for another request.
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

/// Operations by scope.
#[derive(Default)]
pub struct KeyedOperations {
    operations: BTreeMap<String, Operation>,
    /// Of those that are answered, in the order of their answers.
    expiries: VecDeque<Expiry>,
    answer_bytes: usize,
}

fn kept_bytes(scope: &str, answer: &StoredAnswer) -> usize {
    2 * scope.len() + answer.head.as_slice().len() + answer.body.as_slice().len() + ANSWER_OVERHEAD_BYTES
}

impl KeyedOperations {
    /// A request comes under its key. One that waits is told by [`KeyedOperations::end`] of its leader.
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

    /// The request that leads an operation is through with it; returns those that waited. Its answer, if it is one to
    /// be given again, is kept until then.
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

    /// How many are under way.
    pub fn running(&self) -> usize {
        self.operations.len() - self.expiries.len()
    }

    /// How many answers are kept.
    pub fn answers(&self) -> usize {
        self.expiries.len()
    }

    /// What they take.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Forgets answers whose time is over.
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
