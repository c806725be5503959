//! Letting a forwarded request in: is this its owner, is there room, what does its class ask first. A
//! forwarded request has a number of its own and is admitted once, however often its frame comes.

use crate::function_owner::FunctionOwner;
use crate::owner_types::{OwnedRequest, OwnerOutput, Place, TaskId};
use crate::refusals::RefusalReason;
use crate::wait_queue::LAST;
use bindings::Class;
use sha2::{Digest, Sha256};
use std::time::Duration;
use wire::{ForwardMessage, ForwardRequest, NodeId, Outcome};

impl FunctionOwner {
    pub(crate) fn admit(&mut self, from: NodeId, request: ForwardRequest) {
        let ForwardRequest { task, function, binding, left_ms, resends, attempts, respond_async, key, head, body } =
            request;
        let id = TaskId { from, task };
        if self.seen.insert(id, self.now).is_some() {
            return;
        }
        let bound = self.routes.as_ref().and_then(|routes| routes.binding(binding.as_str())).cloned();
        let service = function.as_str().split_once('/').map_or("", |(_, service)| service);
        let scheduler = self.schedulers.get_mut(function.as_str()).filter(|scheduler| scheduler.is_owned);
        let (Some(bound), Some(scheduler)) = (bound, scheduler) else {
            return self.outs.push(OwnerOutput::Forward { to: from, message: ForwardMessage::NotOwner { task } });
        };
        if !bound.sends_to(service) || scheduler.leaving.is_some() {
            return self.outs.push(OwnerOutput::Forward { to: from, message: ForwardMessage::NotOwner { task } });
        }
        scheduler.arrivals += 1;
        let full = scheduler.queued.len() >= self.timing.function_inbox;
        let last = bound.class == Class::Deferred || bound.player_weight <= 0.0;
        let (keyless, again) = (matches!(bound.class, Class::Ordinary | Class::Single), resends > 0);
        let spent = again && keyless && (bound.class == Class::Single || !scheduler.budget.try_second(self.now));
        let (scope, digest) = match keyless {
            true => (String::new(), Vec::new()),
            false => (format!("{}/{}", binding.as_str(), key.as_str()), digest(head.as_slice(), body.as_slice())),
        };
        let number = self.number();
        let record = OwnedRequest {
            id,
            function: function.as_str().into(),
            binding: binding.as_str().into(),
            class: bound.class,
            arrived: self.now,
            due: self.now + Duration::from_millis(left_ms.into()),
            aim: bound.aim_ms.map(|aim| Duration::from_millis(aim.into())),
            not_before: self.now,
            place: Place::Queued,
            scope,
            digest,
            head: head.into_vec(),
            body: body.into_vec(),
            claim: 0,
            stored: None,
            respond_async: respond_async != 0,
            caller: true,
            dispatches: 0,
            attempts: bound.attempts.max(1),
            granted: if attempts == ForwardRequest::UNCOUNTED { u32::MAX } else { attempts },
            failure: None,
            avoid: String::new(),
            reached: again && keyless,
            rank: if last { LAST } else { bound.rank },
            inherits: left_ms + left_ms / 8 < bound.deadline_ms,
        };
        self.tasks.insert(number, record);
        if full {
            return self.refuse(number, RefusalReason::QueueFull);
        }
        if spent {
            return self.answer_own(number, Outcome::Unknown, 504, Duration::from_secs(2));
        }
        match bound.class {
            Class::Ordinary | Class::Single => self.hold(number),
            _ if !self.core_near => self.refuse(number, RefusalReason::CoreUnreachable),
            Class::Once => self.claim(number),
            Class::Deferred => self.store(number),
        }
    }
}

/// What makes a repeat the same request: method, target and body, not the hop's own headers.
fn digest(head: &[u8], body: &[u8]) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(head_identity(head));
    hasher.update(body);
    hasher.finalize().to_vec()
}

fn head_identity(head: &[u8]) -> Vec<u8> {
    match wire::from_bytes::<wire::RequestHead>(head) {
        Some(head) => format!("{} {}\n", head.method.as_str(), head.target.as_str()).into_bytes(),
        None => head.to_vec(),
    }
}
