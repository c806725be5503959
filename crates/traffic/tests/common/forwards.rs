//! Messages between fronts and owners about forwarded requests.

use super::ME;
use traffic::{FrontOutput, OwnerOutput};
use wire::ForwardMessage;

/// Returns the first forwarded request, and its number.
pub fn forwarded(outputs: &[FrontOutput]) -> Option<(u64, ForwardMessage)> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message: message @ ForwardMessage::Forward { request }, .. } => {
            Some((request.task, message.clone()))
        }
        _ => None,
    })
}

/// Returns the number of the first dispatch.
pub fn dispatch_number(outputs: &[OwnerOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    })
}

/// Returns the owner's first message to the front other than a heartbeat.
pub fn message_to_front(outputs: &[OwnerOutput]) -> Option<ForwardMessage> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Forward { to: ME, message } if !matches!(message, ForwardMessage::Heartbeat) => {
            Some(message.clone())
        }
        _ => None,
    })
}

/// Returns the number of attempts that the front grants.
pub fn granted_attempts(outputs: &[FrontOutput]) -> Option<u32> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message: ForwardMessage::AttemptGrant { attempts, .. }, .. } => Some(*attempts),
        _ => None,
    })
}
