//! Writes to the disk: one at a time, and what is to be said only after it once it is synced.

use crate::member::{Member, Writing};
use crate::types::{Batch, Output};

impl Member {
    pub(crate) fn flush(&mut self) {
        if !self.dirty || self.writing.is_some() {
            return;
        }
        self.dirty = false;
        self.ticket += 1;
        self.next.settled = self.settled;
        let follow = Batch { last: self.last, trim_below: self.next.trim_below, ..Batch::default() };
        let batch = std::mem::replace(&mut self.next, follow);
        self.writing = Some(Writing {
            ticket: self.ticket,
            up_to: self.last,
            state: self.state.clone(),
            after: std::mem::take(&mut self.next_after),
            begun: self.now,
            installs: std::mem::take(&mut self.installs),
        });
        self.outs.push(Output::Write { ticket: self.ticket, batch });
    }

    pub(crate) fn written(&mut self, ticket: u64) {
        let Some(write) = self.writing.take_if(|write| write.ticket == ticket) else { return };
        self.synced = write.up_to;
        self.snapshots.push_back((write.up_to, write.state.clone()));
        self.synced_state = write.state;
        self.outs.extend(write.after);
        if write.installs {
            self.installed();
        }
        self.settle();
    }
}
