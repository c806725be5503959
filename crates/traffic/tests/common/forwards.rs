//! What fronts and owners say to each other of a forwarded request.

use super::ME;
use traffic::{FrontOutput, OwnerOutput};
use wire::ForwardMessage;

pub fn forwarded(outputs: &[FrontOutput]) -> Option<(u64, ForwardMessage)> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message: message @ ForwardMessage::Forward { request }, .. } => {
            Some((request.task, message.clone()))
        }
        _ => None,
    })
}

pub fn sent(outputs: &[OwnerOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    })
}

pub fn to_front(outputs: &[OwnerOutput]) -> Option<ForwardMessage> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Forward { to: ME, message } if !matches!(message, ForwardMessage::Heartbeat) => {
            Some(message.clone())
        }
        _ => None,
    })
}

pub fn granted(outputs: &[FrontOutput]) -> Option<u32> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message: ForwardMessage::AttemptGrant { attempts, .. }, .. } => Some(*attempts),
        _ => None,
    })
}
