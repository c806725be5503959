//! Who is a voter. Every registry becomes one, so that a majority of voters is a majority of the machines; there
//! are never fewer than the losses to be tolerated ask for. A new machine first waits a little whether it comes
//! in another's place, and a voter that stays away is removed.

use super::ChainReplica;
use crate::snapshot::RETRY_INTERVAL;
use std::time::Duration;
use wire::{NodeAddress, NodeId, View};

/// More voters make each decision dearer and tolerate no more than is asked.
const MAX_VOTERS: usize = 9;
/// How long a new machine waits for another's place while there are enough voters.
const NEW_VOTER_DELAY: Duration = Duration::from_secs(3);
/// A voter outside the chain is removed after so long a silence.
const VACANT_VOTER_TIMEOUT: Duration = Duration::from_secs(8);
/// A voter that missed so many heartbeats may be lost, and its place may be free soon.
const QUIET_HEARTBEATS: u32 = 3;

impl ChainReplica {
    /// As many voters as it takes to have a majority left after the losses to be tolerated.
    pub(super) fn min_voters(&self) -> usize {
        self.rules.tolerated_losses * 2 + 1
    }

    /// On how many disks an entry must be before it is acknowledged: on one more than may be lost, or on all
    /// there were ever meant to be.
    pub(super) fn required_replicas(&self) -> usize {
        self.meta.view.voters.as_slice().len().min(self.rules.tolerated_losses + 1)
    }

    pub(super) fn has_enough_replicas(&self) -> bool {
        self.meta.view.chain.as_slice().len() >= self.required_replicas()
    }

    /// One joins at a time: what another is being served would be lost by serving the next.
    pub(super) fn is_admitting_other(&self, id: NodeId) -> bool {
        let now = self.clock.now;
        let active = self.catch_up.source.as_ref().filter(|source| now < source.requested_at + RETRY_INTERVAL * 2);
        let view = &self.meta.view;
        view.learner != 0 || active.is_some_and(|source| source.joiner != id && !view.is_in_chain(source.joiner))
    }

    /// Whether a voter outside the chain hears nothing from a replica in it: the two would take each other out
    /// again as soon as it returned.
    pub(super) fn misses_chain_member(&self) -> bool {
        let (me, now) = (self.me(), self.clock.now);
        let is_missed = |id: &NodeId| *id != me && self.detector.is_missed(*id, now);
        self.meta.view.is_voter(me) && self.meta.view.chain.iter().any(is_missed)
    }

    /// The index among the voters that a joiner takes, which may be one after the last. A replica that asks to
    /// return stays the voter that it was.
    fn voter_index_for(&self, joiner: &NodeAddress) -> usize {
        let view = &self.meta.view;
        let voters = view.voters.as_slice();
        let is_absent = |voter: &NodeAddress| !view.is_in_chain(voter.id);
        let is_returning = |id: NodeId| self.rules.join_requests.is_recent(id, self.clock.now);
        let same_id = voters.iter().position(|voter| voter.id == joiner.id);
        let same_address = || voters.iter().position(|voter| voter.address == joiner.address && is_absent(voter));
        let has_enough = voters.len() >= self.min_voters();
        let leavers = || self.voter_index_of_leaver().filter(|_| has_enough);
        let replaceable =
            || voters.iter().position(|voter| is_absent(voter) && !is_returning(voter.id)).filter(|_| has_enough);
        same_id.or_else(same_address).or_else(leavers).or_else(replaceable).unwrap_or(voters.len())
    }

    /// Whether several heartbeats of a voter are missing.
    fn is_quiet(&self, id: NodeId) -> bool {
        let limit = self.timing.heartbeat * QUIET_HEARTBEATS;
        id != self.me() && self.detector.is_silent(id, self.clock.now, limit)
    }

    /// Whether a joiner can become a voter now.
    pub(super) fn can_become_voter(&self, joiner: &NodeAddress) -> bool {
        let (index, min_voters) = (self.voter_index_for(joiner), self.min_voters());
        let voters = self.meta.view.voters.as_slice();
        // Its address is another's who is thought to be there: that one is taken out first.
        let is_other = |(at, voter): (usize, &NodeAddress)| at != index && voter.address == joiner.address;
        let is_address_taken = !self.meta.view.is_voter(joiner.id) && voters.iter().enumerate().any(is_other);
        match voters.get(index) {
            _ if is_address_taken => false,
            Some(_) => true,
            None if voters.len() >= MAX_VOTERS => false,
            None if voters.len() < min_voters => true,
            // If a quiet voter is lost, its place will be free soon.
            None if voters.iter().any(|voter| self.is_quiet(voter.id)) => false,
            None => self.rules.join_requests.has_waited(joiner.id, NEW_VOTER_DELAY, self.clock.now),
        }
    }

    /// The next view with a joiner at the end of the chain, as its learner.
    pub(super) fn view_with_joiner(&self, joiner: NodeAddress) -> Option<View> {
        let mut next = self.meta.view.clone();
        let mut chain = next.chain.into_vec();
        let mut voters = next.voters.into_vec();
        let index = self.voter_index_for(&joiner);
        chain.push(joiner.id);
        next.number += 1;
        next.learner = joiner.id;
        if index < voters.len() {
            voters[index] = joiner;
        } else if voters.len() < MAX_VOTERS {
            voters.push(joiner);
        } else {
            return None;
        }
        next.chain = chain.into();
        next.voters = voters.into();
        Some(next)
    }

    /// The next view with the address at which this replica is met now, where it has kept its disk and the present
    /// view names another: machines that know no other way go by the addresses of the view.
    pub(super) fn view_with_own_address(&self) -> Option<View> {
        let view = &self.meta.view;
        let own = &self.meta.node;
        let index = view.voters.iter().position(|voter| voter.id == own.id && voter.address != own.address)?;
        if view.learner != 0 {
            return None;
        }
        let mut next = view.clone();
        let mut voters = next.voters.into_vec();
        voters[index] = own.clone();
        next.voters = voters.into();
        next.number += 1;
        Some(next)
    }

    /// The next view without a voter that has been away for long, where there are more than enough.
    pub(super) fn view_without_vacant_voter(&self) -> Option<View> {
        let view = &self.meta.view;
        if view.learner != 0 {
            return None;
        }
        let weighs = self.absent_voters_weigh(view.chain.as_slice());
        let is_vacant = |voter: &NodeAddress| {
            let is_given_up = weighs || self.rules.departures.is_leaving(voter.id);
            let timeout = if is_given_up { self.timing.suspect_after } else { VACANT_VOTER_TIMEOUT };
            !view.is_in_chain(voter.id) && self.detector.is_silent(voter.id, self.clock.now, timeout)
        };
        let voters = view.voters.as_slice();
        let index = voters.iter().position(is_vacant).filter(|_| voters.len() > self.min_voters())?;
        let mut next = view.clone();
        let mut voters = next.voters.into_vec();
        voters.remove(index);
        next.voters = voters.into();
        next.number += 1;
        Some(next)
    }
}
