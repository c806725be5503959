//! Whose request it is: a consumer is known by its API key alone, looked up anew whenever a waiting request is tried,
//! so that a key that was taken away admits nothing more.

use crate::front::Front;
use crate::front_passes::unknown_outcome;
use crate::front_types::{Call, Reply, RequestRecord};
use bindings::{Class, FunctionBinding, RouteTable};
use wire::{HeaderField, RequestHead};

/// What a request's API key says.
pub(crate) enum Caller {
    /// A consumer, by `tenant/name`.
    Consumer(String),
    /// Nobody in particular, on a route that asks for no key.
    Anonymous,
    /// No consumer has the key, or there is none where one is needed.
    Unauthorized,
}

pub(crate) fn identify_caller(routes: &RouteTable, binding: &FunctionBinding, call: &Call) -> Caller {
    let known = call.api_key.as_ref().and_then(|key| routes.consumers().name_of_key(key));
    match known {
        Some(name) => Caller::Consumer(name.to_owned()),
        None if binding.public || !routes.keys_required() => Caller::Anonymous,
        None => Caller::Unauthorized,
    }
}

impl RequestRecord {
    /// Whether a request under a key that may have run would be another operation by the newest configuration: the
    /// key is remembered under its consumer, or else under its binding.
    pub(crate) fn is_other_operation(&self, binding: &str, class: Class, caller: &Caller) -> bool {
        let consumer = if let Caller::Consumer(name) = caller { name.as_str() } else { "" };
        let is_moved = consumer != self.consumer || consumer.is_empty() && binding != self.binding;
        self.may_have_run && self.class == Some(Class::Once) && (is_moved || class != Class::Once)
    }
}

impl Front {
    /// Notes whose request it is. One that nobody may make is answered at once.
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

    /// The head as an instance is to see it.
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
