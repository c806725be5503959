//! Memory for large answers, from instances and from other routers. While there is none, callers that have left their
//! answers unread for longest give way.

use dispatch::{AnswerMemory, UNRESERVED_ANSWER_BYTES};
use http_server::{Shortage, ShortageReporter};
use memory::MemoryBudget;
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, Message};

/// Age from which on an unread answer gives way to one that its instance still holds.
const UNREAD_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Returns the memory for answers of instances. An instance can wait, so only answers that were left unread for a while
/// give way.
pub fn instance_answers(budget: &MemoryBudget, shortages: &ShortageReporter) -> AnswerMemory {
    answer_memory(budget, shortages, UNREAD_ANSWER_TIME)
}

/// Returns the memory for answers from other routers. Their link waits meanwhile, so any unread answer gives way.
pub fn arriving_answers(budget: &MemoryBudget, shortages: &ShortageReporter) -> AnswerMemory {
    answer_memory(budget, shortages, Duration::ZERO)
}

fn answer_memory(budget: &MemoryBudget, shortages: &ShortageReporter, min_age: Duration) -> AnswerMemory {
    let shortages = shortages.clone();
    let report = move |bytes| shortages.report(Shortage::AnswerBytes { bytes, min_age });
    AnswerMemory::new(budget.clone(), Rc::new(report))
}

/// Lets a large answer own the reservation of its memory, once there is room for it. Returns any other message as it is,
/// and `None` for an answer that exceeds the memory for all answers: its caller is told when its time is over.
pub async fn reserve_answer(memory: &AnswerMemory, message: Message) -> Option<Message> {
    match message {
        Message::Forward(ForwardMessage::Answer { task, outcome, status, retry_after_ms, head, body })
            if body.len() > UNRESERVED_ANSWER_BYTES =>
        {
            let reservation = memory.reserve(body.len()).await?;
            let body = reservation.attach_to(body.into_bytes()).into();
            Some(Message::Forward(ForwardMessage::Answer { task, outcome, status, retry_after_ms, head, body }))
        }
        message => Some(message),
    }
}
