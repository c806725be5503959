//! The invariants, checked on every output of a member and at every state.
//!
//! (a) one operation at each sequence number, (b) enough copies of each committed entry, (c) one view of
//! each number, (d) quorums and single membership changes, (e) a complete member survives each change of
//! view, (g) the cluster stays available after the tolerated losses, (h) confirmed reads are current.

use crate::history::ConfirmationRequest;
use crate::world::{World, machine_index};
use chain::{Output, StoredReplica};
use wire::{NodeId, ProposalId, View};

impl World {
    /// Records the outputs of the member on a machine and checks the invariants that concern them.
    pub(crate) fn record_outputs(&mut self, index: usize, outputs: &[Output]) {
        for output in outputs {
            match output {
                Output::ViewAdopted { view } => self.record_view(view.clone()),
                Output::Committed { seq } => self.record_committed(index, *seq),
                Output::Confirmed { round } => self.record_confirmed(index, *round),
                _ => {}
            }
        }
    }

    fn record_view(&mut self, view: View) {
        let known = self.history.decided.get(&view.number).cloned();
        if let Some(known) = known {
            if known != view {
                self.history.record_violation(|| {
                    format!("(c) two views decided as number {}: {known:?} and {view:?}", view.number)
                });
            }
            return;
        }
        let before = self.history.decided.get(&(view.number - 1)).cloned();
        self.history.decided.insert(view.number, view.clone());
        if let Some(before) = before {
            self.check_survivors(&before, &view);
            self.check_single_change(&before, &view);
            self.check_quorum(&before, &view);
        }
    }

    fn check_survivors(&mut self, before: &View, view: &View) {
        let is_complete = |id: &&NodeId| **id != before.learner;
        let has_survivor = before.chain.iter().filter(is_complete).any(|id| view.chain.as_slice().contains(id));
        if !has_survivor {
            self.history.record_violation(|| format!("(e) only a learner survives from {before:?} to {view:?}"));
        }
    }

    fn check_single_change(&mut self, before: &View, view: &View) {
        let added = view.chain.iter().filter(|id| !before.chain.as_slice().contains(id)).count();
        let was_voter = |id: &NodeId| before.voters.iter().any(|node| node.id == *id);
        let is_voter = |id: &NodeId| view.voters.iter().any(|node| node.id == *id);
        let voters_added = view.voters.iter().filter(|node| !was_voter(&node.id)).count();
        let voters_removed = before.voters.iter().filter(|node| !is_voter(&node.id)).count();
        let overlaps = before.learner != 0 && (added > 0 || voters_added > 0 || voters_removed > 0);
        if added > 1 || voters_added > 1 || voters_removed > 1 || overlaps {
            self.history.record_violation(|| format!("(d) membership changes overlap from {before:?} to {view:?}"));
        }
    }

    /// Checks that a majority of the previous voters accepted the view. A voter that has lost its disk since
    /// may have accepted it; each other voter must have it on disk.
    fn check_quorum(&mut self, before: &View, view: &View) {
        let accepted = |id: NodeId| {
            let machine = &self.machines[machine_index(id)];
            machine.id != id || holds_view(&machine.disk, view)
        };
        let count = before.voters.iter().filter(|node| accepted(node.id)).count();
        if count * 2 <= before.voters.as_slice().len() {
            self.history.record_violation(|| format!("(d) {view:?} is stored by only {count} voters of {before:?}"));
        }
    }

    fn record_committed(&mut self, index: usize, seq: u64) {
        let Some(member) = &self.machines[index].member else { return };
        let entries: Vec<(u64, ProposalId, String)> = member
            .entries()
            .filter(|entry| entry.seq <= seq)
            .map(|entry| (entry.seq, entry.op, String::from_utf8_lossy(entry.body.as_slice()).into_owned()))
            .collect();
        for (seq, op, key) in entries {
            let first = self.history.committed.get(&seq).cloned();
            match first {
                Some((known, _)) if known != op => {
                    self.history.record_violation(|| format!("(a) both {known:?} and {op:?} are committed at {seq}"));
                }
                Some(_) => {}
                None => {
                    self.history.committed.insert(seq, (op, key));
                    self.check_copy_count(seq);
                }
            }
        }
    }

    fn check_copy_count(&mut self, seq: u64) {
        let copies = (0..self.machines.len()).filter(|index| self.stores_committed(*index, seq)).count();
        let losses = self.losses;
        if copies <= losses {
            self.history.record_violation(|| {
                format!("(b) entry {seq} is committed on only {copies} disks, but {losses} may be lost")
            });
        }
    }

    /// Returns whether the disk of a machine holds the entry committed at a sequence number.
    fn stores_committed(&self, index: usize, seq: u64) -> bool {
        let disk = &self.machines[index].disk;
        let key = self.history.committed.get(&seq).map(|(_, key)| key);
        disk.last >= seq && key.is_some_and(|key| disk.state.contains_key(key))
    }

    fn record_confirmed(&mut self, index: usize, round: u64) {
        let Some(member) = &self.machines[index].member else { return };
        let id = self.machines[index].id;
        let view = member.view().number;
        let state = member.committed_state().clone();
        let confirmed: Vec<ConfirmationRequest> = self
            .history
            .confirmation_requests
            .range((id, 0)..=(id, round))
            .map(|(_, request)| request.clone())
            .collect();
        self.history.confirmation_requests.retain(|(other, requested), _| *other != id || *requested > round);
        for request in confirmed {
            let missing =
                self.history.committed.range(..=request.committed).any(|(_, (_, key))| !state.contains_key(key));
            if view < request.newest_view || missing {
                self.history.record_violation(|| {
                    let newest = request.newest_view;
                    format!("(h) {id} confirms reads in view {view} where {newest} was decided, missing: {missing}")
                });
            }
        }
    }

    /// Checks the invariants of the state as a whole, for each set of further losses that must be tolerated.
    pub fn check(&mut self) {
        let Some(newest) = self.newest_view().cloned() else { return };
        for lost in self.possible_further_losses() {
            self.check_majority(&newest, &lost);
            self.check_committed_survive(&newest, &lost);
        }
    }

    fn check_majority(&mut self, newest: &View, lost: &[usize]) {
        let can_vote = |id: NodeId| {
            let machine = &self.machines[machine_index(id)];
            let has_accepted = machine.disk.meta.accepted_number > 0;
            let runs = machine.member.as_ref().is_some_and(|member| member.view().number > 0 || has_accepted);
            machine.id == id && runs && !lost.contains(&machine_index(id))
        };
        let remaining = newest.voters.iter().filter(|node| can_vote(node.id)).count();
        if remaining * 2 <= newest.voters.as_slice().len() {
            self.history.record_violation(|| {
                format!("(g) only {remaining} voters remain of {newest:?} without machines {lost:?}")
            });
        }
    }

    fn check_committed_survive(&mut self, newest: &View, lost: &[usize]) {
        let is_complete_survivor = |index: &usize| {
            let id = self.machines[*index].id;
            !lost.contains(index) && newest.chain.as_slice().contains(&id) && newest.learner != id
        };
        let survivors: Vec<usize> = (0..self.machines.len()).filter(is_complete_survivor).collect();
        let committed: Vec<u64> = self.history.committed.keys().copied().collect();
        let missing =
            committed.into_iter().find(|seq| !survivors.iter().any(|index| self.stores_committed(*index, *seq)));
        if let Some(seq) = missing {
            self.history.record_violation(|| format!("(b) entry {seq} is lost with machines {lost:?} in {newest:?}"));
        }
    }
}

fn holds_view(disk: &StoredReplica, view: &View) -> bool {
    let accepted = disk.meta.accepted_number > 0 && disk.meta.accepted == *view;
    disk.meta.view.number >= view.number || accepted
}
