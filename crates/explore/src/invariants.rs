//! The invariants, checked on every output and at every state.

use crate::history::Asked;
use crate::world::{World, machine_of};
use chain::{Output, StoredReplica};
use wire::{NodeId, ProposalId, View};

impl World {
    pub(crate) fn record(&mut self, index: usize, outputs: &[Output]) {
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
                self.history.break_rule(|| format!("(c) view {} decided twice: {known:?} {view:?}", view.number));
            }
            return;
        }
        let before = self.history.decided.get(&(view.number - 1)).cloned();
        self.history.decided.insert(view.number, view.clone());
        if let Some(before) = before {
            self.check_survivors(&before, &view);
            self.check_one_change(&before, &view);
            self.check_quorum(&before, &view);
        }
    }

    fn check_survivors(&mut self, before: &View, view: &View) {
        let complete = |id: &&NodeId| **id != before.learner;
        let kept = before.chain.iter().filter(complete).any(|id| view.chain.as_slice().contains(id));
        if !kept {
            self.history.break_rule(|| format!("(e) only a learner survives from {before:?} to {view:?}"));
        }
    }

    fn check_one_change(&mut self, before: &View, view: &View) {
        let added = view.chain.iter().filter(|id| !before.chain.as_slice().contains(id)).count();
        let old = |id: &NodeId| before.voters.iter().any(|node| node.id == *id);
        let new = |id: &NodeId| view.voters.iter().any(|node| node.id == *id);
        let seats_added = view.voters.iter().filter(|node| !old(&node.id)).count();
        let seats_removed = before.voters.iter().filter(|node| !new(&node.id)).count();
        let overlaps = before.learner != 0 && (added > 0 || seats_added > 0 || seats_removed > 0);
        if added > 1 || seats_added > 1 || seats_removed > 1 || overlaps {
            self.history.break_rule(|| format!("(d) membership changes overlap from {before:?} to {view:?}"));
        }
    }

    /// Whoever was a voter and lost its disk since may have accepted; all others must show it.
    fn check_quorum(&mut self, before: &View, view: &View) {
        let accepted = |id: NodeId| {
            let machine = &self.machines[machine_of(id)];
            machine.id != id || holds_view(&machine.disk, view)
        };
        let count = before.voters.iter().filter(|node| accepted(node.id)).count();
        if count * 2 <= before.voters.as_slice().len() {
            self.history.break_rule(|| format!("(d) {view:?} is kept by {count} voters of {before:?} only"));
        }
    }

    fn record_committed(&mut self, index: usize, seq: u64) {
        let Some(member) = &self.machines[index].member else { return };
        let entries: Vec<(u64, ProposalId, String)> = member
            .entries()
            .filter(|entry| entry.seq <= seq)
            .map(|entry| (entry.seq, entry.op, String::from_utf8_lossy(entry.body.as_slice()).into_owned()))
            .collect();
        for (place, op, key) in entries {
            let first = self.history.committed.get(&place).cloned();
            match first {
                Some((known, _)) if known != op => {
                    self.history.break_rule(|| format!("(a) {known:?} and {op:?} are committed at {place}"));
                }
                Some(_) => {}
                None => {
                    self.history.committed.insert(place, (op, key));
                    self.check_copies(place);
                }
            }
        }
    }

    fn check_copies(&mut self, place: u64) {
        let copies = (0..self.machines.len()).filter(|index| self.keeps(*index, place)).count();
        let losses = self.losses;
        if copies <= losses {
            self.history
                .break_rule(|| format!("(b) {place} is committed on {copies} disks where {losses} may be lost"));
        }
    }

    /// Whether a machine's disk holds what was committed at a place.
    fn keeps(&self, index: usize, place: u64) -> bool {
        let disk = &self.machines[index].disk;
        let key = self.history.committed.get(&place).map(|(_, key)| key);
        disk.last >= place && key.is_some_and(|key| disk.state.contains_key(key))
    }

    fn record_confirmed(&mut self, index: usize, round: u64) {
        let Some(member) = &self.machines[index].member else { return };
        let id = self.machines[index].id;
        let view = member.view().number;
        let state = member.committed_state().clone();
        let answered: Vec<Asked> =
            self.history.asked.range((id, 0)..=(id, round)).map(|(_, asked)| asked.clone()).collect();
        self.history.asked.retain(|(other, asked), _| *other != id || *asked > round);
        for asked in answered {
            let missing =
                self.history.committed.range(..=asked.committed).any(|(_, (_, key))| !state.contains_key(key));
            if view < asked.newest_view || missing {
                self.history.break_rule(|| {
                    let newest = asked.newest_view;
                    format!("(h) {id} confirms reads in view {view} where {newest} was decided, missing: {missing}")
                });
            }
        }
    }

    /// What holds of each state as a whole.
    pub fn check(&mut self) {
        let Some(newest) = self.newest_view().cloned() else { return };
        for lost in self.further_losses() {
            self.check_majority(&newest, &lost);
            self.check_kept(&newest, &lost);
        }
    }

    fn check_majority(&mut self, newest: &View, lost: &[usize]) {
        let votes = |id: NodeId| {
            let machine = &self.machines[machine_of(id)];
            let bound = machine.disk.meta.accepted_number > 0;
            let runs = machine.member.as_ref().is_some_and(|member| member.view().number > 0 || bound);
            machine.id == id && runs && !lost.contains(&machine_of(id))
        };
        let left = newest.voters.iter().filter(|node| votes(node.id)).count();
        if left * 2 <= newest.voters.as_slice().len() {
            self.history.break_rule(|| format!("(g) {left} voters left of {newest:?} without machines {lost:?}"));
        }
    }

    fn check_kept(&mut self, newest: &View, lost: &[usize]) {
        let must_survive = |index: &usize| {
            let id = self.machines[*index].id;
            !lost.contains(index) && newest.chain.as_slice().contains(&id) && newest.learner != id
        };
        let survivors: Vec<usize> = (0..self.machines.len()).filter(must_survive).collect();
        let places: Vec<u64> = self.history.committed.keys().copied().collect();
        let missing = places.into_iter().find(|place| !survivors.iter().any(|index| self.keeps(*index, *place)));
        if let Some(place) = missing {
            self.history.break_rule(|| format!("(b) {place} is lost with machines {lost:?} in {newest:?}"));
        }
    }
}

fn holds_view(disk: &StoredReplica, view: &View) -> bool {
    let accepted = disk.meta.accepted_number > 0 && disk.meta.accepted == *view;
    disk.meta.view.number >= view.number || accepted
}
