//! Forwarding a request to its function's owner, with the attempts that its front grants.

use crate::front::{Front, RETRY, SOON};
use crate::front_passes::unknown;
use crate::front_types::{FrontOutput, Reply, Stage};
use wire::{ForwardMessage, ForwardRequest, NodeId, Outcome};

impl Front {
    pub(crate) fn attempt(&mut self, task: u64) {
        if !self.may_serve || !self.resolve(task) {
            return;
        }
        if !self.is_within_quota(task) {
            return;
        }
        let Some(record) = self.table.get_mut(&task) else { return };
        if record.attempts.is_spent() {
            return self.answer_spent(task);
        }
        let Some(owner) = self.membership.owner(&record.function) else { return };
        let due = record.due <= self.now;
        record.again_at = self.now + RETRY;
        if due || !self.may_forward_to(owner) {
            return;
        }
        let Some(record) = self.table.get(&task) else { return };
        let head = self.head_for_instance(&record.call.head, &record.consumer);
        let Some(record) = self.table.get_mut(&task) else { return };
        self.next += 1;
        self.by_forward.remove(&record.forward);
        self.by_forward.insert(self.next, task);
        record.forward = self.next;
        record.stage = Stage::Forwarded { owner };
        let request = ForwardRequest {
            task: record.forward,
            function: record.function.as_str().into(),
            binding: record.binding.as_str().into(),
            remaining_ms: (record.due - self.now).as_millis() as u32,
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
        self.outs.push(FrontOutput::Forward { to: owner, message });
        self.charge_attempts(task);
    }

    /// Tells an owner how many attempts it has in all, with one more where one is left; none where the request is no
    /// longer with it.
    pub(crate) fn attempt_requested(&mut self, from: NodeId, forward: u64, wanted: u32) {
        let task = self.by_forward.get(&forward).copied();
        let record = task.and_then(|task| self.table.get_mut(&task));
        let present =
            record.filter(|record| record.forward == forward && record.stage == Stage::Forwarded { owner: from });
        let attempts = present.map_or(0, |record| record.attempts.grant(wanted));
        if let Some(task) = task {
            self.charge_attempts(task);
        }
        self.outs
            .push(FrontOutput::Forward { to: from, message: ForwardMessage::AttemptGrant { task: forward, attempts } });
    }

    /// No attempt is left, and none that was made has told an answer.
    pub(crate) fn answer_spent(&mut self, task: u64) {
        let doubt = self.table.get(&task).is_some_and(|record| record.doubt);
        let reply = match doubt {
            true => unknown(),
            false => {
                let reply = Reply::own(503, Some(Outcome::NotRun), "no instance took it");
                reply.again(self.spread(task, SOON))
            }
        };
        self.answer(task, reply);
    }
}
