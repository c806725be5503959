//! Keys of run-once requests at the function's owner. A key is claimed in the registries before its request is sent and
//! settled with the answer afterwards; it is released only if the request was never sent. A repeat of an operation that
//! this owner knows waits for it or is answered from memory, without a request to the registries.

use crate::function_owner::FunctionOwner;
use crate::keyed_operations::JoinResult;
use crate::owner_types::{RequestState, StoreOperation};
use crate::refusals::RefusalReason;
use bindings::Class;
use dispatch::UNRESERVED_ANSWER_BYTES;
use std::time::Duration;
use wire::{Blob, ClaimState, Command, Outcome, StoredAnswer};

/// How long a claim, a release or an answer is proposed again until the registries have accepted it.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_secs(60);
/// Extra ticks for which a key is claimed beyond the key window. The registries' ticks may follow each other faster
/// when the tail of the chain moves, and the first tick may come soon after the claim.
const EXTRA_TICKS: u64 = 5;
/// Suggested delay before a caller repeats a request whose operation is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Status for a repeat whose operation is in progress.
const CONFLICT: u16 = 409;
/// Status for a key that was already used for another request.
const UNPROCESSABLE: u16 = 422;

fn unknown() -> StoredAnswer {
    StoredAnswer { outcome: Outcome::Unknown, status: 504, head: Blob::default(), body: Blob::default() }
}

impl FunctionOwner {
    /// Handles a new request with a key, and returns true if it is answered or waits for the first request with the
    /// key. A known operation is answered even if the queue is full or the registries cannot be reached.
    pub(crate) fn join_operation(&mut self, number: u64) -> bool {
        let Some(task) = self.tasks.get(&number) else { return true };
        match self.keyed.join(self.now, &task.scope, &task.digest, number) {
            JoinResult::Leads | JoinResult::Contested => return false,
            JoinResult::Waits => self.wait_for_leader(number),
            JoinResult::Answered(answer) => {
                self.counters.keyed.answered_from_memory += 1;
                self.give_answer(number, answer);
            }
            JoinResult::OtherRequest => {
                self.answer_without_body(number, Outcome::NotRun, UNPROCESSABLE, Duration::ZERO)
            }
        }
        true
    }

    /// Makes a repeat wait for the first request with its key, for at most the repeat's aim or half of its time.
    fn wait_for_leader(&mut self, number: u64) {
        self.counters.keyed.waited += 1;
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let half = task.deadline.saturating_sub(now) / 2;
        let wait_limit = task.aim.map_or(half, |aim| aim.min(half));
        task.state = RequestState::AwaitingLeader { until: now + wait_limit };
    }

    /// Answers repeats that have waited long enough with the status that their operation is in progress.
    pub(crate) fn repeat_timeout_pass(&mut self) {
        let now = self.now;
        let is_over = |state: &RequestState| matches!(state, RequestState::AwaitingLeader { until } if now >= *until);
        let over = self.tasks.iter().filter(|(_, task)| is_over(&task.state)).map(|(number, _)| *number);
        over.collect::<Vec<_>>().into_iter().for_each(|number| self.refuse_as_in_progress(number));
    }

    /// Answers that the operation of this key is in progress and its outcome is unknown.
    pub(crate) fn refuse_as_in_progress(&mut self, number: u64) {
        self.counters.keyed.refused_as_running += 1;
        let retry_after = self.add_jitter(number, IN_PROGRESS_RETRY_AFTER);
        self.answer_without_body(number, Outcome::Unknown, CONFLICT, retry_after);
    }

    /// Ends the operation of a request with a key. The requests that waited for it get its answer, or return to their
    /// fronts if there is none.
    pub(crate) fn end_operation(&mut self, number: u64, answer: Option<&StoredAnswer>, retry_after: Duration) {
        let Some(task) = self.tasks.get(&number).filter(|task| task.class == Class::Once) else { return };
        let repeatable = answer.filter(|answer| answer.outcome == Outcome::Answered);
        let kept = repeatable.map(|answer| (without_reservation(answer), self.now + self.settings.key_window));
        for waiting in self.keyed.end(&task.scope.clone(), number, kept) {
            match answer.cloned() {
                Some(StoredAnswer { outcome, status, head, body }) => {
                    self.answer(waiting, outcome, status, retry_after, head.into_vec(), body.into_bytes());
                }
                None => self.return_to_front(waiting),
            }
        }
    }

    /// Claims the key of a request, unless the request would be refused afterwards: a claim and its release cost two
    /// log entries.
    pub(crate) fn claim_if_served_soon(&mut self, number: u64) {
        match self.excessive_wait(number) {
            Some(wait) => self.refuse_with_wait(number, wait, RefusalReason::ExpectedWait),
            None => self.claim(number),
        }
    }

    fn claim(&mut self, number: u64) {
        let (member, incarnation) = (self.me, self.incarnation);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.state = RequestState::Claiming;
        task.claim_request_id = number;
        let (scope, digest, request_id) = (task.scope.as_str().into(), task.digest.clone().into(), number);
        let command = if self.settings.claims_for_ticks {
            let ticks = (self.settings.key_window.as_secs() + EXTRA_TICKS) as u32;
            Command::ClaimForTicks { scope, digest, member, incarnation, request_id, ticks }
        } else {
            Command::Claim { scope, digest, member, incarnation, request_id }
        };
        let function = task.function.clone();
        self.request_store(StoreOperation::Claim, number, &function, wire::to_bytes(&command), STORE_TIMEOUT);
    }

    /// Proposes to release the claim of a request.
    pub(crate) fn release(&mut self, number: u64) {
        let Some(task) = self.tasks.get(&number) else { return };
        let command = Command::Release {
            scope: task.scope.as_str().into(),
            member: self.me,
            incarnation: self.incarnation,
            request_id: task.claim_request_id,
        };
        let function = task.function.clone();
        self.counters.keyed.released += 1;
        self.request_store(StoreOperation::Release, number, &function, wire::to_bytes(&command), STORE_TIMEOUT);
    }

    /// Releases a claim that was granted after its request was given up; otherwise the key would stay claimed.
    pub(crate) fn release_unused_claim(&mut self, claim: &[u8], function: &str) {
        if let Some(
            Command::Claim { scope, member, incarnation, request_id, .. }
            | Command::ClaimForTicks { scope, member, incarnation, request_id, .. },
        ) = wire::from_bytes(claim)
        {
            let command = Command::Release { scope, member, incarnation, request_id };
            self.counters.keyed.released += 1;
            self.request_store(StoreOperation::Release, 0, function, wire::to_bytes(&command), STORE_TIMEOUT);
        }
    }

    /// Records that an operation may have run but has no answer, so that it is never run again.
    pub(crate) fn record_unknown(&mut self, number: u64) {
        self.record_answer(number, &unknown());
    }

    /// Records that an operation has ended, with its answer if that is short enough. A longer answer is kept only in
    /// this owner's memory; a repeat that does not find it there is answered that the outcome is unknown.
    pub(crate) fn record_answer(&mut self, number: u64, answer: &StoredAnswer) {
        let unknown = unknown();
        let bytes = answer.head.as_slice().len() + answer.body.as_slice().len();
        let answer = if bytes <= self.settings.recorded_answer_bytes { answer } else { &unknown };
        let Some(task) = self.tasks.get(&number) else { return };
        let command = Command::RecordAnswer {
            scope: task.scope.as_str().into(),
            member: self.me,
            incarnation: self.incarnation,
            request_id: task.claim_request_id,
            answer: wire::to_bytes(answer).into(),
        };
        let function = task.function.clone();
        self.request_store(StoreOperation::RecordAnswer, number, &function, wire::to_bytes(&command), STORE_TIMEOUT);
    }

    /// Handles the registries' reply to a claim.
    pub(crate) fn handle_claim_reply(&mut self, number: u64, state: ClaimState, answer: &[u8]) {
        let mine = self.tasks.get(&number).is_some_and(|task| self.is_owner(&task.function));
        let Some(task) = self.tasks.get_mut(&number) else { return };
        match (&task.state, state) {
            (RequestState::Claiming, _) => {}
            // The release may have overtaken the claim.
            (RequestState::Releasing, ClaimState::Granted) => return self.release(number),
            _ => return,
        }
        match state {
            ClaimState::Granted if !mine => {
                self.counters.keyed.granted += 1;
                task.state = RequestState::Releasing;
                self.release(number);
            }
            ClaimState::Granted => {
                self.counters.keyed.granted += 1;
                self.enqueue(number)
            }
            ClaimState::Running => self.refuse_as_in_progress(number),
            ClaimState::Answered => {
                self.counters.keyed.answered_by_registries += 1;
                self.answer_stored(number, answer)
            }
            ClaimState::Unknown => {
                self.counters.keyed.unknown += 1;
                self.answer_without_body(number, Outcome::Unknown, 504, Duration::ZERO)
            }
            ClaimState::OtherBody => self.answer_without_body(number, Outcome::NotRun, UNPROCESSABLE, Duration::ZERO),
            ClaimState::Full => self.refuse(number, RefusalReason::StoreFull),
        }
    }
}

/// Returns an answer to keep: its body does not hold the memory that is reserved for answers on their way.
fn without_reservation(answer: &StoredAnswer) -> StoredAnswer {
    let mut answer = answer.clone();
    if answer.body.len() > UNRESERVED_ANSWER_BYTES {
        answer.body = answer.body.as_slice().to_vec().into();
    }
    answer
}
