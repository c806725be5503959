//! Requests that a router gives up near the end of the grace period of a planned stop. What runs may have taken effect,
//! so its outcome is unknown: the registries record that for a run-once key, so that a repeat is neither told that the
//! operation is in progress nor run again. What was never dispatched goes back to its front.

use crate::function_owner::FunctionOwner;
use crate::owner_types::RequestState;
use bindings::Class;
use events::event;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeId, Outcome};

/// Status of a request whose outcome is not known.
const UNKNOWN_OUTCOME: u16 = 504;

impl FunctionOwner {
    /// Gives up all open requests. From now on nothing is dispatched, and new requests go back to their fronts.
    pub(crate) fn give_up(&mut self) {
        self.has_given_up = true;
        self.log_given_up();
        // The answer to the leader of a key is also that of the repeats that wait for it, so they come last.
        let (repeats, others): (Vec<_>, Vec<_>) = self
            .tasks
            .iter()
            .map(|(number, task)| (*number, matches!(task.state, RequestState::AwaitingLeader { .. })))
            .partition(|(_, is_repeat)| *is_repeat);
        for (number, _) in others.into_iter().chain(repeats) {
            self.give_up_request(number);
        }
        self.running.clear();
    }

    fn give_up_request(&mut self, number: u64) {
        let Some(task) = self.tasks.get(&number) else { return };
        match (task.class, &task.state) {
            // It returns to its front once the registries have released its key.
            (_, RequestState::Releasing) => {}
            (Class::Deferred, RequestState::Storing) => {
                if let Some(task) = self.tasks.get_mut(&number) {
                    task.stored_id = None;
                }
                self.answer_without_body(number, Outcome::Unknown, UNKNOWN_OUTCOME, Duration::ZERO);
            }
            // The next owner finds it in the store.
            (Class::Deferred, _) => {
                self.accept(number);
                self.forget(number);
            }
            (Class::Once, RequestState::Running { .. }) => {
                self.record_unknown(number);
                self.answer_without_body(number, Outcome::Unknown, UNKNOWN_OUTCOME, Duration::ZERO);
            }
            (Class::Ordinary | Class::Single, RequestState::Running { .. }) => {
                self.answer_without_body(number, Outcome::Unknown, UNKNOWN_OUTCOME, Duration::ZERO);
            }
            (_, RequestState::AwaitingGrant { .. }) => self.answer_failure(number),
            _ => self.send_back(number),
        }
    }

    /// Logs how many requests of each function are given up, and for the callers of which router.
    fn log_given_up(&self) {
        let mut counts: BTreeMap<(&str, NodeId), usize> = BTreeMap::new();
        for task in self.tasks.values().filter(|task| task.is_caller_waiting) {
            *counts.entry((&task.function, task.id.from)).or_default() += 1;
        }
        for ((function, front), count) in counts {
            event!(requests_given_up, "{count} of {function} for callers of {front:016x}");
        }
    }
}
