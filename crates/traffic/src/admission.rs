//! Admission of forwarded requests: checks that this router owns the function, that the function's queue has room,
//! and what the request's class requires before it may run. A forwarded request carries its own number and is
//! admitted once, however often its frame arrives.

use crate::function_owner::FunctionOwner;
use crate::memory_plan::RequestMemory;
use crate::owner_types::{OwnedRequest, OwnerOutput, RequestState, TaskId};
use crate::refusals::RefusalReason;
use crate::wait_queue::LOWEST_PRIORITY;
use bindings::Class;
use sha2::{Digest, Sha256};
use std::time::Duration;
use wire::{Blob, ForwardMessage, ForwardRequest, NodeId, Outcome};

/// Scope prefix for the keys of consumers. No binding has this name, since binding names are `tenant/name`.
const CONSUMER_SCOPE: &str = "consumer";
/// Number of binding ranks within one consumer rank.
const BINDING_RANKS: u32 = 10_000;
const MAX_CONSUMER_RANK: u32 = 10_000;

impl FunctionOwner {
    /// Admits a request from a front: queues it, answers it, or starts the store operation that its class needs.
    pub(crate) fn admit(&mut self, from: NodeId, request: ForwardRequest, consumer: &str) {
        let ForwardRequest {
            task,
            function,
            binding,
            remaining_ms: left_ms,
            resends,
            attempts,
            respond_async,
            key,
            head,
            body,
        } = request;
        let id = TaskId { from, task };
        if self.seen_requests.insert(id, self.now).is_some() {
            return;
        }
        let resolved = self.routes.as_ref().and_then(|routes| routes.binding(binding.as_str())).cloned();
        let service = function.as_str().split_once('/').map_or("", |(_, service)| service);
        let consumer_rank = self.routes.as_ref().and_then(|routes| routes.consumers().get(consumer)?.rank);
        let scheduler = self.schedulers.get_mut(function.as_str()).filter(|scheduler| scheduler.is_owned);
        let (Some(resolved), Some(scheduler)) = (resolved, scheduler) else {
            return self.outs.push(OwnerOutput::Forward { to: from, message: ForwardMessage::NotOwner { task } });
        };
        if !resolved.sends_to(service) || scheduler.leaving.is_some() || self.has_given_up {
            return self.outs.push(OwnerOutput::Forward { to: from, message: ForwardMessage::NotOwner { task } });
        }
        scheduler.arrivals += 1;
        let is_queue_full = scheduler.queued.len() >= self.settings.max_queue_length;
        let goes_last = resolved.class == Class::Deferred || resolved.player_weight <= 0.0;
        let (is_keyless, is_resent) = (matches!(resolved.class, Class::Ordinary | Class::Single), resends > 0);
        let is_retry_denied =
            is_resent && is_keyless && (resolved.class == Class::Single || !scheduler.budget.try_retry(self.now));
        let (scope, digest) = match is_keyless {
            true => (String::new(), Vec::new()),
            false => (
                operation_scope(binding.as_str(), consumer, key.as_str()),
                request_digest(head.as_slice(), body.as_slice()),
            ),
        };
        let is_local = from == self.me;
        let reservation = match is_local {
            true => None,
            false => self.settings.memory.try_reserve(RequestMemory::need(head.len(), body.len())),
        };
        let has_memory = is_local || reservation.is_some();
        let body = if has_memory { body } else { Blob::default() };
        let number = self.next_number();
        let record = OwnedRequest {
            id,
            function: function.as_str().into(),
            binding: binding.as_str().into(),
            class: resolved.class,
            arrived: self.now,
            deadline: self.now + Duration::from_millis(left_ms.into()),
            aim: resolved.aim_ms.map(|aim| Duration::from_millis(aim.into())),
            not_before: self.now,
            state: RequestState::Queued,
            scope,
            digest,
            head: head.into_vec(),
            body: body.into_bytes(),
            _reservation: reservation,
            claim_request_id: 0,
            stored_id: None,
            respond_async: respond_async != 0,
            is_caller_waiting: true,
            dispatches: 0,
            attempts: resolved.attempts.max(1),
            granted: if attempts == ForwardRequest::UNCOUNTED { u32::MAX } else { attempts },
            failure: None,
            last_instance: String::new(),
            may_have_run: is_resent && is_keyless,
            rank: if goes_last { LOWEST_PRIORITY } else { queue_rank(consumer_rank, resolved.rank) },
            has_shortened_deadline: left_ms + left_ms / 8 < resolved.deadline_ms,
        };
        self.tasks.insert(number, record);
        if resolved.class == Class::Once && self.join_operation(number) {
            return;
        }
        if is_queue_full {
            return self.refuse(number, RefusalReason::QueueFull);
        }
        if !has_memory {
            return self.refuse(number, RefusalReason::NoMemory);
        }
        if is_retry_denied {
            return self.answer_without_body(number, Outcome::Unknown, 504, Duration::from_secs(2));
        }
        match resolved.class {
            Class::Ordinary | Class::Single => self.enqueue(number),
            _ if !self.registries_reachable => self.refuse(number, RefusalReason::CoreUnreachable),
            Class::Once => self.claim_if_served_soon(number),
            Class::Deferred => self.store(number),
        }
    }
}

/// Returns the scope in which a key identifies one operation. A consumer's key is the same operation on every route.
fn operation_scope(binding: &str, consumer: &str, key: &str) -> String {
    if consumer.is_empty() { format!("{binding}/{key}") } else { format!("{CONSUMER_SCOPE}/{consumer}/{key}") }
}

/// Returns the request's rank in the queue: by the consumer's rank, then by the binding's. Callers that are not
/// consumers come first.
fn queue_rank(consumer: Option<u32>, binding: u32) -> u32 {
    let consumer = consumer.unwrap_or_default().min(MAX_CONSUMER_RANK);
    consumer * BINDING_RANKS + binding.min(BINDING_RANKS - 1)
}

/// Returns the digest by which a repeat is recognised as the same request. It covers method, target and body, but not
/// the headers, which belong to a single hop.
fn request_digest(head: &[u8], body: &[u8]) -> Vec<u8> {
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
