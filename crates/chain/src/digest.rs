//! A digest of everything a member remembers, so that a model explorer can tell which states it has
//! already visited. Times enter as ages: two states that differ only in when they happen are one.

use crate::member::Member;
use crate::types::{Batch, Meta, Output, State};
use std::hash::{Hash, Hasher};
use std::time::Duration;
use wire::{LogEntry, to_bytes};

/// Ages beyond this make no difference to any timer of a member.
const OLDEST: Duration = Duration::from_secs(40);

impl Member {
    /// Feeds all volatile and kept state of the member into a hasher.
    pub fn digest(&self, hasher: &mut impl Hasher) {
        digest_meta(&self.meta, hasher);
        digest_state(&self.state, hasher);
        digest_state(&self.synced_state, hasher);
        digest_state(&self.committed_state, hasher);
        self.digest_log(hasher);
        self.digest_writes(hasher);
        self.digest_agreement(hasher);
        self.digest_line(hasher);
        self.digest_tenure(hasher);
        self.digest_joining(hasher);
    }

    /// How long ago a moment was, or how far ahead it lies.
    fn age(&self, moment: Duration) -> (u64, u64) {
        let past = self.now.saturating_sub(moment).min(OLDEST);
        let ahead = moment.saturating_sub(self.now).min(OLDEST);
        (past.as_millis() as u64, ahead.as_millis() as u64)
    }

    fn digest_log(&self, hasher: &mut impl Hasher) {
        digest_entries(self.log.iter(), hasher);
        (self.last, self.synced, self.committed, self.known_committed).hash(hasher);
        self.pending_replies.hash(hasher);
        for (seq, state) in &self.snapshots {
            seq.hash(hasher);
            digest_state(state, hasher);
        }
    }

    fn digest_writes(&self, hasher: &mut impl Hasher) {
        digest_batch(&self.next, hasher);
        digest_outputs(&self.next_after, hasher);
        (self.dirty, self.installs, self.ticket, self.faulted).hash(hasher);
        self.leaving_since.map(|since| self.age(since)).hash(hasher);
        self.writing.is_some().hash(hasher);
        if let Some(writing) = &self.writing {
            (writing.ticket, writing.up_to, writing.installs, self.age(writing.begun)).hash(hasher);
            digest_state(&writing.state, hasher);
            digest_outputs(&writing.after, hasher);
        }
    }

    fn digest_agreement(&self, hasher: &mut impl Hasher) {
        for (id, (heard, unhealthy)) in &self.heard {
            (id, self.age(*heard), unhealthy).hash(hasher);
        }
        self.proposal.is_some().hash(hasher);
        if let Some(proposal) = &self.proposal {
            (proposal.slot, proposal.proposal_number, proposal.accepting, &proposal.accepts).hash(hasher);
            self.age(proposal.begun).hash(hasher);
            to_bytes(&proposal.value).hash(hasher);
            for (id, (strength, view)) in &proposal.promises {
                (id, strength, to_bytes(view)).hash(hasher);
            }
        }
        (self.age(self.propose_after), self.age(self.accepted_at), self.highest_seen_number).hash(hasher);
        (self.age(self.ticked), self.age(self.heartbeat_sent)).hash(hasher);
        let round = &self.round;
        (round.number, round.running, round.wanted, round.needs, &round.pending_replies).hash(hasher);
        self.age(round.begun).hash(hasher);
    }

    fn digest_line(&self, hasher: &mut impl Hasher) {
        (self.fence, self.view_fence, self.sent_to, self.acked, self.age(self.acked_at)).hash(hasher);
    }

    fn digest_tenure(&self, hasher: &mut impl Hasher) {
        (self.suspecting.map(|since| self.age(since)), self.age(self.tail_answered)).hash(hasher);
        self.tenure.digest(hasher);
        self.answer_reports.digest(|moment| self.age(moment), hasher);
    }

    fn digest_joining(&self, hasher: &mut impl Hasher) {
        if let Some(copying) = &self.copying {
            (copying.from, copying.copy, copying.piece, copying.seq, &copying.pairs).hash(hasher);
            (self.age(copying.requested_at), self.age(copying.moved)).hash(hasher);
        }
        if let Some(source) = &self.source {
            (source.number, source.joiner, source.seq, &source.starts, self.age(source.requested_at)).hash(hasher);
            digest_state(&source.state, hasher);
        }
        for (id, returned) in &self.returns {
            let (added, wait, not_before) = returned.times();
            (id, self.age(added), wait, self.age(not_before)).hash(hasher);
        }
        for (id, (first, last)) in &self.newcomers {
            (id, self.age(*first), self.age(*last)).hash(hasher);
        }
        (self.age(self.requested_at), self.seeking.map(|since| self.age(since)), self.joins_wait).hash(hasher);
        for (id, heard, bound) in self.founding.heard() {
            (id, self.age(heard), to_bytes(bound)).hash(hasher);
        }
    }
}

/// Feeds what a disk keeps of a member's identity and votes into a hasher.
pub fn digest_meta(meta: &Meta, hasher: &mut impl Hasher) {
    to_bytes(&meta.node).hash(hasher);
    to_bytes(&meta.view).hash(hasher);
    (meta.promised, meta.accepted_number).hash(hasher);
    to_bytes(&meta.accepted).hash(hasher);
}

/// Feeds a state's pairs into a hasher.
pub fn digest_state(state: &State, hasher: &mut impl Hasher) {
    state.len().hash(hasher);
    state.iter().for_each(|pair| pair.hash(hasher));
}

/// Feeds log entries into a hasher.
pub fn digest_entries<'a>(entries: impl Iterator<Item = &'a LogEntry>, hasher: &mut impl Hasher) {
    entries.for_each(|entry| to_bytes(entry).hash(hasher));
}

/// Feeds a write that has not landed into a hasher.
pub fn digest_batch(batch: &Batch, hasher: &mut impl Hasher) {
    (batch.replace, &batch.pairs, batch.trim_below, batch.last, batch.known_committed).hash(hasher);
    digest_entries(batch.entries.iter(), hasher);
    batch.meta.is_some().hash(hasher);
    if let Some(meta) = &batch.meta {
        digest_meta(meta, hasher);
    }
}

fn digest_outputs(outputs: &[Output], hasher: &mut impl Hasher) {
    for output in outputs {
        match output {
            Output::Send { to, message } => (to, to_bytes(message)).hash(hasher),
            Output::SendSeeds { message } => to_bytes(message).hash(hasher),
            other => format!("{other:?}").hash(hasher),
        }
    }
}
