//! A request forwarded to its function's owner, whichever message brings it.

use crate::{Blob, ForwardMessage, Text};
use deku::prelude::*;

/// A request forwarded to its function's owner, with the number of attempts that its front grants.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ForwardRequest {
    /// The front's number of it.
    pub task: u64,
    /// Tenant and name.
    pub function: Text,
    /// The binding that its route led to.
    pub binding: Text,
    /// The time that is left for it.
    pub left_ms: u32,
    /// How often the front forwarded it before.
    pub resends: u8,
    /// To how many instances the owner may send it before it asks for more; `UNCOUNTED` if the front
    /// does not count.
    pub attempts: u32,
    /// Not 0 if the caller takes an answer that it is stored.
    pub respond_async: u8,
    /// The run-once key, empty for none.
    pub key: Text,
    /// Method, target and headers.
    pub head: Blob,
    /// The body.
    pub body: Blob,
}

impl ForwardRequest {
    /// As many attempts as the binding allows.
    pub const UNCOUNTED: u32 = 0;
}

impl ForwardMessage {
    /// The request that is forwarded, if one is, and whose it is, empty for no consumer's; by a front that counts its
    /// attempts or by an older one.
    pub fn into_forward_request(self) -> Option<(ForwardRequest, Text)> {
        match self {
            ForwardMessage::ForwardForConsumer { request, consumer } => Some((*request, consumer)),
            ForwardMessage::Forward { request } => Some((*request, Text::default())),
            ForwardMessage::ForwardUncounted {
                task,
                function,
                binding,
                left_ms,
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
                    left_ms,
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
