//! The content of a forwarded request, independent of the message variant that carries it.

use crate::{Blob, ForwardMessage, Text};
use deku::prelude::*;

/// Request that a front forwards to its function's owner.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ForwardRequest {
    /// Number that the front gave to the request.
    pub task: u64,
    /// Name of the function as `tenant/name`.
    pub function: Text,
    /// Name of the binding that the route belongs to.
    pub binding: Text,
    /// Time left until the request's deadline.
    pub remaining_ms: u32,
    /// Number of times that the front has forwarded the request before.
    pub resends: u8,
    /// Number of instances to which the owner may send the request before it asks for more attempts; `UNCOUNTED` if
    /// the front doesn't count attempts.
    pub attempts: u32,
    /// Not 0 if the caller accepts an answer which says that the request is stored.
    pub respond_async: u8,
    /// Run-once key, empty for none.
    pub key: Text,
    /// Encoded `RequestHead`.
    pub head: Blob,
    /// Body of the request.
    pub body: Blob,
}

impl ForwardRequest {
    /// Value of `attempts` that allows as many attempts as the binding.
    pub const UNCOUNTED: u32 = 0;
}

impl ForwardMessage {
    /// Returns the forwarded request and the name of its consumer (empty for none), if the message forwards one in any
    /// format.
    pub fn into_forward_request(self) -> Option<(ForwardRequest, Text)> {
        match self {
            ForwardMessage::ForwardForConsumer { request, consumer } => Some((*request, consumer)),
            ForwardMessage::Forward { request } => Some((*request, Text::default())),
            ForwardMessage::ForwardUncounted {
                task,
                function,
                binding,
                remaining_ms,
                resends,
                respond_async,
                key,
                head,
                body,
            } => {
                let attempts = ForwardRequest::UNCOUNTED;
                let request = ForwardRequest {
                    task,
                    function,
                    binding,
                    remaining_ms,
                    resends,
                    attempts,
                    respond_async,
                    key,
                    head,
                    body,
                };
                Some((request, Text::default()))
            }
            _ => None,
        }
    }
}
