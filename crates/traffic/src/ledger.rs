//! The owner's talk with the chain: what it was asked and what it replied, and storing deferred tasks before they are
//! promised. Each ask may be sent again; the chain gives the same reply.

use crate::claims::LASTING;
use crate::function_owner::FunctionOwner;
use crate::owner_types::{OwnerOutput, Place, StoreOperation, StoreRequest};
use crate::refusals::RefusalReason;
use std::time::Duration;
use wire::{ClaimState, Command, CommandReply, LeaseMessage, Outcome, StoredAnswer, StoredRequest};

/// What a registry says of a proposal: it was surely not appended, or it is committed.
const NOT_APPENDED: u8 = 0;
const COMMITTED: u8 = 1;
/// When what was not appended is proposed again.
const REPROPOSE: Duration = Duration::from_millis(50);

/// The name a deferred task is stored under, by its binding and key: a repeat finds the same one.
pub fn stored_id(scope: &str) -> String {
    let halves = [leases::stable_hash(&[scope.as_bytes(), b"1"]), leases::stable_hash(&[b"2", scope.as_bytes()])];
    halves.iter().flat_map(|half| half.to_le_bytes()).map(|byte| format!("{byte:02x}")).collect()
}

impl FunctionOwner {
    pub(crate) fn store(&mut self, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.place = Place::Storing;
        let id = stored_id(&task.scope);
        task.stored = Some(id.clone());
        let kept = StoredRequest {
            binding: task.binding.as_str().into(),
            head: task.head.clone().into(),
            body: task.body.clone().into(),
        };
        let command = Command::Store {
            id: id.into(),
            function: task.function.as_str().into(),
            digest: task.digest.clone().into(),
            task: wire::to_bytes(&kept).into(),
        };
        let (function, left) = (task.function.clone(), task.due.saturating_sub(self.now));
        self.request_store(StoreOperation::Store, number, &function, wire::to_bytes(&command), left);
    }

    pub(crate) fn finish(&mut self, number: u64, answer: &StoredAnswer) {
        let Some(task) = self.tasks.get(&number) else { return };
        let Some(id) = task.stored.clone() else { return };
        let function = task.function.clone();
        let command = Command::Finish {
            id: id.into(),
            function: function.as_str().into(),
            answer: wire::to_bytes(answer).into(),
        };
        self.request_store(StoreOperation::Finish, number, &function, wire::to_bytes(&command), LASTING);
    }

    /// Stored tasks that were answered, of which the store may not have heard yet.
    pub(crate) fn being_finished(&self, function: &str) -> impl Iterator<Item = wire::Text> {
        let store_requests = self
            .store_requests
            .values()
            .filter(move |request_id| request_id.kind == StoreOperation::Finish && request_id.function == function);
        store_requests.filter_map(|request_id| match wire::from_bytes(&request_id.body) {
            Some(Command::Finish { id, .. }) => Some(id),
            _ => None,
        })
    }

    pub(crate) fn handle_store_reply(&mut self, message: LeaseMessage) {
        let (request_id, state, body) = match message {
            LeaseMessage::ProposalAck { request_id, state, body } => (request_id, state, body),
            LeaseMessage::ReadReply { request_id, items, .. } => {
                return self.take_deferred(request_id, items.into_vec());
            }
            _ => return,
        };
        if state == NOT_APPENDED
            && let Some(record) = self.store_requests.get_mut(&request_id)
        {
            record.sent = (self.now + REPROPOSE).saturating_sub(self.timing.resend);
        }
        if state != COMMITTED {
            return;
        }
        let Some(record) = self.store_requests.remove(&request_id) else { return };
        let Some(receipt) = wire::from_bytes::<CommandReply>(body.as_slice()) else { return };
        match (record.kind, receipt) {
            (StoreOperation::Claim, CommandReply::Claim { state: ClaimState::Granted, .. })
                if !self.tasks.contains_key(&record.task) =>
            {
                self.release_late(&record.body, &record.function);
            }
            (StoreOperation::Claim, CommandReply::Claim { state, answer }) => {
                self.claimed(record.task, state, answer.as_slice())
            }
            (StoreOperation::Store, CommandReply::Stored { state, answer }) => {
                self.stored(record.task, state, answer.as_slice())
            }
            (StoreOperation::Release, _) => {
                let releasing = self.tasks.get(&record.task).is_some_and(|task| task.place == Place::Releasing);
                if releasing {
                    self.return_to_front(record.task);
                }
            }
            (StoreOperation::Finish, _) => self.finish_recorded(&record.function, &record.body),
            _ => {}
        }
    }

    /// The store knows that the task is finished: the next owner will not find it pending.
    fn finish_recorded(&mut self, function: &str, command: &[u8]) {
        if let (Some(Command::Finish { id, .. }), Some(scheduler)) =
            (wire::from_bytes(command), self.schedulers.get_mut(function))
        {
            scheduler.sent_tasks.remove(id.as_str());
        }
    }

    fn stored(&mut self, number: u64, state: ClaimState, answer: &[u8]) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        if task.place != Place::Storing {
            return;
        }
        match state {
            ClaimState::Granted => {
                let at_once = task.respond_async;
                self.enqueue(number);
                if at_once {
                    self.accept(number);
                }
            }
            ClaimState::Running => {
                self.accept(number);
                self.forget(number);
            }
            ClaimState::Answered => self.answer_stored(number, answer),
            ClaimState::OtherBody => {
                task.stored = None;
                self.answer_without_body(number, Outcome::NotRun, 422, Duration::ZERO);
            }
            ClaimState::Full | ClaimState::Unknown => {
                task.stored = None;
                self.refuse(number, RefusalReason::StoreFull);
            }
        }
    }

    /// 202 with the address under which the task's state can be asked.
    pub(crate) fn accept(&mut self, number: u64) {
        let Some(id) = self.tasks.get(&number).and_then(|task| task.stored.clone()) else { return };
        let body = format!("{{\"task\":\"{id}\",\"status\":\"/.heron/tasks/{id}\"}}");
        self.answer(number, Outcome::Accepted, 202, Duration::ZERO, Vec::new(), body.into_bytes());
    }

    /// Proposes something, again and again while it lasts, until the chain has replied.
    pub(crate) fn request_store(
        &mut self,
        kind: StoreOperation,
        task: u64,
        function: &str,
        body: Vec<u8>,
        lasts: Duration,
    ) -> u64 {
        let request_id = self.number();
        let due = self.now + lasts;
        let record =
            StoreRequest { kind, task, function: function.to_owned(), body: body.clone(), sent: self.now, due };
        self.store_requests.insert(request_id, record);
        self.outs.push(OwnerOutput::Propose { request_id, body });
        request_id
    }

    /// Sends again what was not answered, and lets go of what is past its time.
    pub(crate) fn store_pass(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        self.store_requests.retain(|request_id, record| {
            if now >= record.due {
                return false;
            }
            if now >= record.sent + self.timing.resend {
                record.sent = now;
                if record.kind != StoreOperation::Deferred {
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
