//! Who has a seat among the voters. Every registry gets one, so that a majority of voters is a majority of
//! the machines; there are never fewer than the losses to be borne ask for. A new machine first waits a
//! little whether it comes in another's place, and a seat that stays empty is taken away.

use crate::copy::RETRY;
use crate::member::Member;
use std::time::Duration;
use wire::{NodeAddress, NodeId, View};

/// More voters make each decision dearer and bear no more than is asked.
const MOST: usize = 9;
const NEWCOMERS: usize = 16;
/// How long a newcomer waits for another's place while there are seats enough.
const STANDS: Duration = Duration::from_secs(3);
const FORGOTTEN: Duration = Duration::from_secs(10);
const EMPTY: Duration = Duration::from_secs(8);

impl Member {
    /// As many voters as it takes to have a majority left after the losses to be borne.
    pub(crate) fn enough(&self) -> usize {
        self.losses * 2 + 1
    }

    pub(crate) fn copies(&self) -> usize {
        self.meta.view.voters.as_slice().len().min(self.losses + 1)
    }

    /// One joins at a time: what another is being served would be lost by serving the next.
    pub(crate) fn is_bringing_in_other(&self, id: NodeId) -> bool {
        let lately = self.source.as_ref().filter(|source| self.now < source.requested_at + RETRY * 2);
        let chain = self.meta.view.chain.as_slice();
        self.meta.view.learner != 0
            || lately.is_some_and(|source| source.joiner != id && !chain.contains(&source.joiner))
    }

    /// The place among the voters that a joiner takes, which may be one after the last. A member that
    /// asks to return keeps its seat.
    fn place_of(&self, node: &NodeAddress) -> usize {
        let voters = self.meta.view.voters.as_slice();
        let gone = |voter: &NodeAddress| self.is_gone(voter);
        let known = voters.iter().position(|voter| voter.id == node.id);
        let there = || voters.iter().position(|voter| voter.address == node.address && gone(voter));
        let free = |voter: &NodeAddress| gone(voter) && !self.is_returning(voter.id);
        let spare = || voters.iter().position(free).filter(|_| voters.len() >= self.enough());
        known.or_else(there).or_else(spare).unwrap_or(voters.len())
    }

    fn is_gone(&self, voter: &NodeAddress) -> bool {
        !self.meta.view.chain.as_slice().contains(&voter.id)
    }

    /// Whether several heartbeats of a voter are missing.
    fn is_quiet(&self, id: NodeId) -> bool {
        let quiet = |(heard, _): &(Duration, bool)| self.now > *heard + self.timing.heartbeat * 3;
        id != self.meta.node.id && self.heard.get(&id).is_none_or(quiet)
    }

    fn is_returning(&self, id: NodeId) -> bool {
        self.newcomers.get(&id).is_some_and(|(_, last)| self.now < *last + RETRY * 3)
    }

    /// Who asks says how long it has waited, since whoever is the tail now may not have heard it before.
    pub(crate) fn note_newcomer(&mut self, id: NodeId, waited: Duration) {
        let now = self.now;
        self.newcomers.retain(|_, (_, last)| now < *last + FORGOTTEN);
        if self.newcomers.len() < NEWCOMERS || self.newcomers.contains_key(&id) {
            let (first, last) = self.newcomers.entry(id).or_insert((now, now));
            (*first, *last) = ((*first).min(now.saturating_sub(waited)), now);
        }
    }

    pub(crate) fn has_seat_for(&self, node: &NodeAddress) -> bool {
        let (place, enough) = (self.place_of(node), self.enough());
        let voters = self.meta.view.voters.as_slice();
        // Its address is another's who is thought to be there: that one is taken out first.
        let other = |(at, voter): (usize, &NodeAddress)| at != place && voter.address == node.address;
        let taken = !self.is_voter(node.id) && voters.iter().enumerate().any(other);
        match voters.get(place) {
            _ if taken => false,
            Some(_) => true,
            None if voters.len() >= MOST => false,
            None if voters.len() < enough => true,
            // If a quiet voter is lost, its seat will be free soon.
            None if voters.iter().any(|voter| self.is_quiet(voter.id)) => false,
            None => self.newcomers.get(&node.id).is_some_and(|(first, _)| self.now >= *first + STANDS),
        }
    }

    pub(crate) fn with_joiner(&self, node: NodeAddress) -> Option<View> {
        let mut next = self.meta.view.clone();
        let mut chain = next.chain.into_vec();
        let mut voters = next.voters.into_vec();
        let place = self.place_of(&node);
        chain.push(node.id);
        next.number += 1;
        next.learner = node.id;
        match place < voters.len() {
            true => voters[place] = node,
            false if voters.len() < MOST => voters.push(node),
            false => return None,
        }
        next.chain = chain.into();
        next.voters = voters.into();
        Some(next)
    }

    /// The view without a seat that has been empty for long, where there are more than enough.
    pub(crate) fn without_empty_seat(&self) -> Option<View> {
        let view = &self.meta.view;
        if view.learner != 0 {
            return None;
        }
        let voters = view.voters.as_slice();
        let silent = |voter: &NodeAddress| self.heard.get(&voter.id).is_none_or(|(heard, _)| self.now > *heard + EMPTY);
        let empty = |voter: &NodeAddress| !view.chain.iter().any(|id| *id == voter.id) && silent(voter);
        let place = voters.iter().position(empty).filter(|_| voters.len() > self.enough())?;
        let mut next = view.clone();
        let mut voters = next.voters.into_vec();
        voters.remove(place);
        next.voters = voters.into();
        next.number += 1;
        Some(next)
    }
}
