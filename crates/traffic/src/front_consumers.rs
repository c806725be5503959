//! Authentication of consumers. A consumer is identified by its API key alone. The key is looked up before every attempt
//! of a waiting request, so that a revoked key admits no further request.

use crate::front::Front;
use crate::front_passes::unknown_outcome;
use crate::front_types::{Call, Reply, RequestRecord};
use bindings::{Class, FunctionBinding, RouteTable};
use wire::{HeaderField, RequestHead};

/// Identity of a caller, as found by the API key of its request.
pub(crate) enum Caller {
    /// A consumer, as `tenant/name`.
    Consumer(String),
    /// A caller without a valid key, on a route that requires none.
    Anonymous,
    /// A caller whose key is missing or unknown, on a route that requires one.
    Unauthorized,
}

pub(crate) fn identify_caller(routes: &RouteTable, binding: &FunctionBinding, call: &Call) -> Caller {
    let consumer = call.api_key.as_ref().and_then(|key| routes.consumers().name_of_key(key));
    match consumer {
        Some(name) => Caller::Consumer(name.to_owned()),
        None if binding.public || !routes.keys_required() => Caller::Anonymous,
        None => Caller::Unauthorized,
    }
}

impl RequestRecord {
    /// Returns whether a request with an idempotency key that may have run would count as a different operation under
    /// the newest configuration. Keys are recorded per consumer, or per binding for anonymous callers.
    pub(crate) fn is_other_operation(&self, binding: &str, class: Class, caller: &Caller) -> bool {
        let consumer = if let Caller::Consumer(name) = caller { name.as_str() } else { "" };
        let is_moved = consumer != self.consumer || consumer.is_empty() && binding != self.binding;
        self.may_have_run && self.class == Some(Class::Once) && (is_moved || class != Class::Once)
    }
}

impl Front {
    /// Stores the consumer in the record. A request of an unauthorized caller is answered at once; returns `false` then.
    pub(crate) fn authenticate(&mut self, task: u64, caller: Caller) -> bool {
        let Some(record) = self.requests.get_mut(&task) else { return false };
        match caller {
            Caller::Consumer(name) => record.consumer = name,
            Caller::Anonymous => record.consumer.clear(),
            Caller::Unauthorized => {
                let reply = if record.may_have_run {
                    unknown_outcome()
                } else {
                    Reply::from_router(401, None, "no consumer has this key")
                };
                self.answer(task, reply);
                return false;
            }
        }
        true
    }

    /// Returns the request head for an instance, with the name of the consumer in its header.
    pub(crate) fn head_for_instance(&self, head: &RequestHead, consumer: &str) -> RequestHead {
        let mut head = head.clone();
        if let Some(header) = self.limits.consumer_header.as_ref().filter(|_| !consumer.is_empty()) {
            let name = consumer.split_once('/').map_or(consumer, |(_, name)| name);
            let value = (header.format_name)(name).into_bytes().into();
            let mut headers = head.headers.into_vec();
            headers.push(HeaderField { name: header.name.as_str().into(), value });
            head.headers = headers.into();
        }
        head
    }
}
