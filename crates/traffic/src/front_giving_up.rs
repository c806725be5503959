//! The front near the end of the grace period of a planned stop: every caller is answered while the answer can still be
//! written.

use crate::front::{BASE_RETRY_AFTER, Front};
use crate::front_passes::unknown_outcome;
use crate::front_types::{FrontOutput, Reply, Stage};
use wire::Outcome;

const STOPPING: &str = "this router is stopping";

impl Front {
    /// Answers all open requests: the outcome of one that was forwarded is unknown, any other has not run.
    pub(crate) fn give_up(&mut self) {
        self.has_given_up = true;
        let tasks: Vec<u64> = self.requests.keys().copied().collect();
        for task in tasks {
            let is_unsent =
                self.requests.get(&task).is_some_and(|record| record.stage == Stage::Waiting && !record.may_have_run);
            let reply = if is_unsent { self.stopping_reply(task) } else { unknown_outcome() };
            self.answer(task, reply);
        }
    }

    /// Refuses a new request.
    pub(crate) fn refuse_while_stopping(&mut self, request_id: u64) {
        self.refusals += 1;
        let reply = self.stopping_reply(request_id);
        self.outputs.push(FrontOutput::Reply { request_id, reply });
    }

    fn stopping_reply(&self, seed: u64) -> Reply {
        let reply = Reply::from_router(503, Some(Outcome::NotRun), STOPPING);
        reply.with_retry_after(self.add_jitter(seed, BASE_RETRY_AFTER))
    }
}
