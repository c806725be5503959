//! Digest of the whole state of a replica, with which a model checker recognizes states that it already visited.
//! Times are hashed as ages, so that states that differ only by a shift in time are equal.

use super::ChainReplica;
use crate::log::ReplicaLog;
use crate::types::{Batch, Meta, Output, State};
use std::hash::{Hash, Hasher};
use std::time::Duration;
use wire::{LogEntry, to_bytes};

/// Age beyond which a time makes no difference to any timer of a replica.
const MAX_AGE: Duration = Duration::from_secs(40);

impl ChainReplica {
    /// Feeds the whole state of the replica into a hasher.
    pub fn digest(&self, hasher: &mut impl Hasher) {
        digest_meta(&self.meta, hasher);
        digest_log(&self.log, hasher);
        self.digest_writes(hasher);
        self.digest_agreement(hasher);
        self.digest_confirmation(hasher);
        self.digest_replication(hasher);
        self.digest_tail_history(hasher);
        self.digest_catch_up(hasher);
        self.digest_rules(hasher);
    }

    /// Returns how long ago a time was and how far ahead it is, in milliseconds; one of them is 0.
    fn age(&self, moment: Duration) -> (u64, u64) {
        let past = self.clock.now.saturating_sub(moment).min(MAX_AGE);
        let ahead = moment.saturating_sub(self.clock.now).min(MAX_AGE);
        (past.as_millis() as u64, ahead.as_millis() as u64)
    }

    fn digest_writes(&self, hasher: &mut impl Hasher) {
        let (next, on_synced) = self.writes.next();
        digest_batch(next, hasher);
        digest_outputs(on_synced, hasher);
        self.writes.digest_fields().hash(hasher);
        let write = self.writes.in_progress();
        write.is_some().hash(hasher);
        if let Some(write) = write {
            (write.ticket, write.last, write.completes_catch_up, self.age(write.started_at)).hash(hasher);
            digest_state(&write.state, hasher);
            digest_outputs(&write.on_synced, hasher);
        }
    }

    fn digest_agreement(&self, hasher: &mut impl Hasher) {
        for (id, health) in self.detector.voters() {
            (id, self.age(health.last_heard), health.is_unhealthy).hash(hasher);
        }
        self.detector.chain_suspected_since().map(|since| self.age(since)).hash(hasher);
        let proposal = self.agreement.proposal();
        proposal.is_some().hash(hasher);
        if let Some(proposal) = proposal {
            (proposal.slot, proposal.number, proposal.is_accepting, &proposal.accepts).hash(hasher);
            self.age(proposal.started_at).hash(hasher);
            to_bytes(&proposal.value).hash(hasher);
            for (id, accepted) in &proposal.promises {
                (id, accepted.proposal_number, to_bytes(&accepted.view)).hash(hasher);
            }
        }
        let (propose_after, accepted_at, highest_seen_number) = self.agreement.digest_fields();
        (self.age(propose_after), self.age(accepted_at), highest_seen_number).hash(hasher);
        (self.age(self.clock.ticked_at), self.age(self.clock.heartbeat_sent_at)).hash(hasher);
    }

    fn digest_confirmation(&self, hasher: &mut impl Hasher) {
        let round = &self.confirmation;
        (round.number, round.is_running, round.requested, round.awaiting_commit, &round.acknowledged_by).hash(hasher);
        self.age(round.started_at).hash(hasher);
    }

    fn digest_replication(&self, hasher: &mut impl Hasher) {
        let progress = &self.replication;
        (progress.fence, progress.own_fence, progress.sent, progress.acknowledged).hash(hasher);
        self.age(progress.acknowledged_at).hash(hasher);
    }

    fn digest_tail_history(&self, hasher: &mut impl Hasher) {
        let (period, reports, last_answer_at) = self.tail_history.digest_fields();
        (period, reports.view, self.age(last_answer_at)).hash(hasher);
        for (id, answered_at) in &reports.answered_at {
            (id, self.age(*answered_at)).hash(hasher);
        }
    }

    fn digest_catch_up(&self, hasher: &mut impl Hasher) {
        if let Some(download) = &self.catch_up.download {
            (download.source, download.snapshot_id, download.next_chunk, download.seq, &download.pairs).hash(hasher);
            (self.age(download.requested_at), self.age(download.progressed_at)).hash(hasher);
        }
        if let Some(source) = &self.catch_up.source {
            (source.id, source.joiner, source.seq, &source.chunk_starts).hash(hasher);
            self.age(source.requested_at).hash(hasher);
            digest_state(&source.state, hasher);
        }
        let seeking = self.catch_up.joining_since.map(|since| self.age(since));
        (self.age(self.catch_up.requested_at), seeking).hash(hasher);
        for founder in self.bootstrap.founders() {
            (founder.node.id, self.age(founder.heard_at), to_bytes(&founder.bound_to)).hash(hasher);
        }
    }

    fn digest_rules(&self, hasher: &mut impl Hasher) {
        let own = self.rules.departure.map(|departure| (self.age(departure.since), self.age(departure.deadline)));
        (own, self.is_view_acknowledged).hash(hasher);
        self.rules.former_voter.as_ref().map(|node| node.id).hash(hasher);
        for (id, announcement) in self.rules.departures.iter() {
            (id, self.age(announcement.heard_at), self.age(announcement.deadline)).hash(hasher);
        }
        self.rules.joins_deferred.hash(hasher);
        for (id, last) in self.rules.readmissions.iter() {
            (id, self.age(last.added_at), last.backoff, self.age(last.not_before)).hash(hasher);
        }
        for (id, request) in self.rules.join_requests.iter() {
            (id, self.age(request.since), self.age(request.last)).hash(hasher);
        }
    }
}

fn digest_log(log: &ReplicaLog, hasher: &mut impl Hasher) {
    digest_state(log.state(), hasher);
    digest_state(log.synced_state(), hasher);
    digest_state(log.committed_state(), hasher);
    digest_entries(log.entries(), hasher);
    (log.positions(), log.known_committed()).hash(hasher);
    log.pending_replies().hash(hasher);
    for (seq, state) in log.synced_states() {
        seq.hash(hasher);
        digest_state(state, hasher);
    }
}

/// Feeds a replica's identity, view and votes into a hasher.
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

/// Feeds a write that is not synced yet into a hasher.
pub fn digest_batch(batch: &Batch, hasher: &mut impl Hasher) {
    (batch.replace, &batch.changes, batch.trim_below, batch.last, batch.known_committed).hash(hasher);
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
