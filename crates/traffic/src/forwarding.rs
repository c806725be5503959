//! Forwarding of requests to the owners of their functions, and the attempts that the front grants to owners.

use crate::front::{BASE_RETRY_AFTER, Front, RETRY_INTERVAL};
use crate::front_passes::unknown_outcome;
use crate::front_types::{FrontOutput, Reply, Stage};
use wire::{ForwardMessage, ForwardRequest, NodeId, Outcome};

impl Front {
    /// Forwards a request to its owner if its route, consumer limit, attempts and owner allow it now.
    pub(crate) fn attempt(&mut self, task: u64) {
        if !self.may_serve || !self.resolve_route(task) {
            return;
        }
        if !self.is_within_quota(task) {
            return;
        }
        let Some(record) = self.requests.get_mut(&task) else { return };
        if record.attempts.is_spent() {
            return self.answer_without_attempts(task);
        }
        let Some(owner) = self.membership.owner(&record.function) else { return };
        let is_past_deadline = record.deadline <= self.now;
        record.next_attempt_at = self.now + RETRY_INTERVAL;
        if is_past_deadline || !self.may_forward_to(owner) {
            return;
        }
        let Some(record) = self.requests.get(&task) else { return };
        let head = self.head_for_instance(&record.call.head, &record.consumer);
        let Some(record) = self.requests.get_mut(&task) else { return };
        self.last_id += 1;
        self.task_by_forward_id.remove(&record.forward_id);
        self.task_by_forward_id.insert(self.last_id, task);
        record.forward_id = self.last_id;
        record.stage = Stage::Forwarded { owner };
        let request = ForwardRequest {
            task: record.forward_id,
            function: record.function.as_str().into(),
            binding: record.binding.as_str().into(),
            remaining_ms: (record.deadline - self.now).as_millis() as u32,
            resends: record.resends,
            attempts: record.attempts.grant_first(),
            respond_async: record.call.respond_async as u8,
            key: record.key.as_str().into(),
            head: wire::to_bytes(&head).into(),
            body: record.call.body.clone().into(),
        };
        let request = Box::new(request);
        let message = match record.consumer.as_str() {
            "" => ForwardMessage::Forward { request },
            consumer => ForwardMessage::ForwardForConsumer { request, consumer: consumer.into() },
        };
        self.outputs.push(FrontOutput::Forward { to: owner, message });
        self.charge_attempts(task);
    }

    /// Answers an owner's request for attempts with the total that it now has: one more if one is left, and zero if the
    /// request is no longer forwarded to this owner.
    pub(crate) fn handle_attempt_request(&mut self, from: NodeId, forward: u64, wanted: u32) {
        let task = self.task_by_forward_id.get(&forward).copied();
        let record = task.and_then(|task| self.requests.get_mut(&task));
        let forwarded =
            record.filter(|record| record.forward_id == forward && record.stage == Stage::Forwarded { owner: from });
        let attempts = forwarded.map_or(0, |record| record.attempts.grant(wanted));
        if let Some(task) = task {
            self.charge_attempts(task);
        }
        self.outputs
            .push(FrontOutput::Forward { to: from, message: ForwardMessage::AttemptGrant { task: forward, attempts } });
    }

    /// Answers a request that has no attempt left and got no answer from any attempt.
    pub(crate) fn answer_without_attempts(&mut self, task: u64) {
        let may_have_run = self.requests.get(&task).is_some_and(|record| record.may_have_run);
        let reply = match may_have_run {
            true => unknown_outcome(),
            false => {
                let reply = Reply::from_router(503, Some(Outcome::NotRun), "no instance took it");
                reply.with_retry_after(self.add_jitter(task, BASE_RETRY_AFTER))
            }
        };
        self.answer(task, reply);
    }
}
