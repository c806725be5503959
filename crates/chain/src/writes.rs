//! Writes to the disk: one at a time, and what is to be said only after it once it is synced; and the
//! member's new start from the disk after a fault.

use crate::member::{Member, Writing};
use crate::types::{Batch, Output, Stored};

impl Member {
    pub(crate) fn flush(&mut self) {
        if !self.dirty || self.writing.is_some() {
            return;
        }
        self.dirty = false;
        self.ticket += 1;
        self.next.known_committed = self.known_committed;
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

    /// Starts again from what the disk holds, as a new process would: nothing that was not synced is kept.
    /// Only the numbers of rounds, ballots and writes go on, since answers to earlier ones may still come.
    pub(crate) fn start_again(&mut self, stored: Stored) {
        if !self.faulted || stored.meta.node.id != self.meta.node.id {
            return;
        }
        let node = self.meta.node.clone();
        let mut member = Member::new(node, stored, self.timing.clone(), self.apply, self.now);
        let proposed = self.proposal.as_ref().map_or(0, |proposal| proposal.proposal_number);
        member.highest_seen_number = self.highest_seen_number.max(proposed);
        member.round.number = self.round.number;
        member.ticket = self.ticket;
        member.leaving_since = self.leaving_since;
        member.founding = std::mem::take(&mut self.founding);
        member.losses = self.losses;
        member.joins_wait = self.joins_wait;
        member.returns = std::mem::take(&mut self.returns);
        *self = member;
    }
}
