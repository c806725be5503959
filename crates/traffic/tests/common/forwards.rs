//! What fronts and homes say to each other of a forwarded request.

use super::ME;
use traffic::{FrontOutput, HomeOutput};
use wire::ForwardMessage;

pub fn forwarded(outputs: &[FrontOutput]) -> Option<(u64, ForwardMessage)> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message: message @ ForwardMessage::Forward { request }, .. } => {
            Some((request.task, message.clone()))
        }
        _ => None,
    })
}

pub fn sent(outputs: &[HomeOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        HomeOutput::Dispatch(order) => Some(order.number),
        _ => None,
    })
}

pub fn to_front(outputs: &[HomeOutput]) -> Option<ForwardMessage> {
    outputs.iter().find_map(|output| match output {
        HomeOutput::Forward { to: ME, message } if !matches!(message, ForwardMessage::Heartbeat) => {
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
