//! The owner's requests to the registries and their replies, and storing deferred requests before they are accepted.
//! Each request may be sent again; the registries give the same reply.

use crate::claims::STORE_TIMEOUT;
use crate::function_owner::FunctionOwner;
use crate::owner_types::{OwnerOutput, RequestState, StoreOperation, StoreRequest};
use crate::refusals::RefusalReason;
use std::time::Duration;
use wire::{ClaimState, Command, CommandReply, LeaseMessage, Outcome, StoredAnswer, StoredRequest};

/// State of a proposal in a registry's reply: it was certainly not appended, or it is committed.
const NOT_APPENDED: u8 = 0;
const COMMITTED: u8 = 1;
/// Delay before a proposal that was not appended is sent again.
const REPROPOSE_DELAY: Duration = Duration::from_millis(50);

/// Returns the name under which a deferred request is stored. It is derived from binding and key, so a repeat finds the
/// same one.
pub fn stored_id(scope: &str) -> String {
    let halves = [leases::stable_hash(&[scope.as_bytes(), b"1"]), leases::stable_hash(&[b"2", scope.as_bytes()])];
    halves.iter().flat_map(|half| half.to_le_bytes()).map(|byte| format!("{byte:02x}")).collect()
}

impl FunctionOwner {
    /// Proposes to store a deferred request.
    pub(crate) fn store(&mut self, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.state = RequestState::Storing;
        let id = stored_id(&task.scope);
        task.stored_id = Some(id.clone());
        let stored_request = StoredRequest {
            binding: task.binding.as_str().into(),
            head: task.head.clone().into(),
            body: task.body.clone().into(),
        };
        let command = Command::Store {
            id: id.into(),
            function: task.function.as_str().into(),
            digest: task.digest.clone().into(),
            task: wire::to_bytes(&stored_request).into(),
        };
        let (function, left) = (task.function.clone(), task.deadline.saturating_sub(self.now));
        self.request_store(StoreOperation::Store, number, &function, wire::to_bytes(&command), left);
    }

    /// Proposes to mark a stored request as finished, with its answer.
    pub(crate) fn finish(&mut self, number: u64, answer: &StoredAnswer) {
        let Some(task) = self.tasks.get(&number) else { return };
        let Some(id) = task.stored_id.clone() else { return };
        let function = task.function.clone();
        let command = Command::Finish {
            id: id.into(),
            function: function.as_str().into(),
            answer: wire::to_bytes(answer).into(),
        };
        self.request_store(StoreOperation::Finish, number, &function, wire::to_bytes(&command), STORE_TIMEOUT);
    }

    /// Returns stored requests that were answered, but which the store may not have marked as finished yet.
    pub(crate) fn unconfirmed_finishes(&self, function: &str) -> impl Iterator<Item = wire::Text> {
        let finishes = self
            .store_requests
            .values()
            .filter(move |request| request.kind == StoreOperation::Finish && request.function == function);
        finishes.filter_map(|request| match wire::from_bytes(&request.body) {
            Some(Command::Finish { id, .. }) => Some(id),
            _ => None,
        })
    }

    /// Handles a registry's reply to a proposal or a read.
    pub(crate) fn handle_store_reply(&mut self, message: LeaseMessage) {
        let (request_id, state, body) = match message {
            LeaseMessage::ProposalAck { request_id, state, body } => (request_id, state, body),
            LeaseMessage::ReadReply { request_id, items, .. } => {
                return self.handle_deferred_list(request_id, items.into_vec());
            }
            _ => return,
        };
        if state == NOT_APPENDED
            && let Some(record) = self.store_requests.get_mut(&request_id)
        {
            record.sent = (self.now + REPROPOSE_DELAY).saturating_sub(self.settings.resend_interval);
        }
        if state != COMMITTED {
            return;
        }
        let Some(record) = self.store_requests.remove(&request_id) else { return };
        let Some(reply) = wire::from_bytes::<CommandReply>(body.as_slice()) else { return };
        match (record.kind, reply) {
            (StoreOperation::Claim, CommandReply::Claim { state: ClaimState::Granted, .. })
                if !self.tasks.contains_key(&record.task) =>
            {
                self.release_unused_claim(&record.body, &record.function);
            }
            (StoreOperation::Claim, CommandReply::Claim { state, answer }) => {
                self.handle_claim_reply(record.task, state, answer.as_slice())
            }
            (StoreOperation::Store, CommandReply::Stored { state, answer }) => {
                self.handle_stored_reply(record.task, state, answer.as_slice())
            }
            (StoreOperation::Release, _) => {
                let releasing = self.tasks.get(&record.task).is_some_and(|task| task.state == RequestState::Releasing);
                if releasing {
                    self.return_to_front(record.task);
                }
            }
            (StoreOperation::Finish, _) => self.finish_recorded(&record.function, &record.body),
            _ => {}
        }
    }

    /// Removes a request from the sent ones once the store has marked it as finished: the next owner will not find it
    /// pending.
    fn finish_recorded(&mut self, function: &str, command: &[u8]) {
        if let (Some(Command::Finish { id, .. }), Some(scheduler)) =
            (wire::from_bytes(command), self.schedulers.get_mut(function))
        {
            scheduler.sent_tasks.remove(id.as_str());
        }
    }

    fn handle_stored_reply(&mut self, number: u64, state: ClaimState, answer: &[u8]) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        if task.state != RequestState::Storing {
            return;
        }
        match state {
            ClaimState::Granted => {
                let respond_async = task.respond_async;
                self.enqueue(number);
                if respond_async {
                    self.accept(number);
                }
            }
            ClaimState::Running => {
                self.accept(number);
                self.forget(number);
            }
            ClaimState::Answered => self.answer_stored(number, answer),
            ClaimState::OtherBody => {
                task.stored_id = None;
                self.answer_without_body(number, Outcome::NotRun, 422, Duration::ZERO);
            }
            ClaimState::Full | ClaimState::Unknown => {
                task.stored_id = None;
                self.refuse(number, RefusalReason::StoreFull);
            }
        }
    }

    /// Answers 202 with the path at which the status of the stored request can be read.
    pub(crate) fn accept(&mut self, number: u64) {
        let Some(id) = self.tasks.get(&number).and_then(|task| task.stored_id.clone()) else { return };
        let body = format!("{{\"task\":\"{id}\",\"status\":\"/.heron/tasks/{id}\"}}");
        self.answer(number, Outcome::Accepted, 202, Duration::ZERO, Vec::new(), body.into());
    }

    /// Proposes a command, and repeats it until the registries have replied or `timeout` has passed.
    pub(crate) fn request_store(
        &mut self,
        kind: StoreOperation,
        task: u64,
        function: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> u64 {
        let request_id = self.next_number();
        let due = self.now + timeout;
        let record =
            StoreRequest { kind, task, function: function.to_owned(), body: body.clone(), sent: self.now, due };
        self.store_requests.insert(request_id, record);
        self.outs.push(OwnerOutput::Propose { request_id, body });
        request_id
    }

    /// Sends unanswered proposals again, and drops requests that have timed out.
    pub(crate) fn store_pass(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        self.store_requests.retain(|request_id, record| {
            if now >= record.due {
                return false;
            }
            if now >= record.sent + self.settings.resend_interval {
                record.sent = now;
                if record.kind != StoreOperation::ReadDeferred {
                    again.push((*request_id, record.body.clone()));
                }
            }
            true
        });
        for (request_id, body) in again {
            self.outs.push(OwnerOutput::Propose { request_id, body });
        }
    }
}
