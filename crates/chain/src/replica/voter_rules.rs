//! Rules for voters. Every registry becomes a voter, so that a majority of voters is a majority of the machines, and
//! there are never fewer voters than the losses to tolerate require. A new machine first waits a few seconds in case
//! it replaces another one, and a voter that stays absent is removed.

use super::ChainReplica;
use crate::snapshot::RETRY_INTERVAL;
use std::time::Duration;
use wire::{NodeAddress, NodeId, View};

/// Maximum number of voters. More of them make each decision more expensive and are not needed for the configured
/// tolerance.
const MAX_VOTERS: usize = 9;
/// Time that a new machine waits to take over the vote of another while there are enough voters.
const NEW_VOTER_DELAY: Duration = Duration::from_secs(3);
/// Time without an answer after which a voter outside the chain is removed.
const ABSENT_VOTER_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of missed heartbeats after which a voter may be lost, so that its vote may be available soon.
const MISSED_HEARTBEATS_LIMIT: u32 = 3;

impl ChainReplica {
    /// Returns the number of voters needed to keep a majority after the losses to tolerate.
    pub(super) fn min_voters(&self) -> usize {
        self.rules.tolerated_losses * 2 + 1
    }

    /// Returns the number of disks that must hold an entry before it is acknowledged: one more than may be lost, or
    /// the number of voters if the cluster has fewer.
    pub(super) fn required_replicas(&self) -> usize {
        self.meta.view.voters.as_slice().len().min(self.rules.tolerated_losses + 1)
    }

    pub(super) fn has_enough_replicas(&self) -> bool {
        self.meta.view.chain.as_slice().len() >= self.required_replicas()
    }

    /// Returns whether another replica is being admitted. Replicas join one at a time, since serving the next one
    /// would discard the snapshot that is being served.
    pub(super) fn is_admitting_other(&self, id: NodeId) -> bool {
        let now = self.clock.now;
        let active = self.catch_up.source.as_ref().filter(|source| now < source.requested_at + RETRY_INTERVAL * 2);
        let view = &self.meta.view;
        view.learner != 0 || active.is_some_and(|source| source.joiner != id && !view.is_in_chain(source.joiner))
    }

    /// Returns whether this replica is a voter and receives no answers from a replica in the chain. If it rejoined,
    /// the two would remove each other again at once.
    pub(super) fn has_unreachable_chain_member(&self) -> bool {
        let (me, now) = (self.me(), self.clock.now);
        let has_timed_out = |id: &NodeId| *id != me && self.detector.has_timed_out(*id, now);
        self.meta.view.is_voter(me) && self.meta.view.chain.iter().any(has_timed_out)
    }

    /// Returns the index that a joiner takes among the voters, which may be one past the last. An absent voter that
    /// asks to return keeps its vote.
    fn voter_index_for(&self, joiner: &NodeAddress) -> usize {
        let view = &self.meta.view;
        let voters = view.voters.as_slice();
        let is_absent = |voter: &NodeAddress| !view.is_in_chain(voter.id);
        let is_returning = |id: NodeId| self.rules.join_requests.is_recent(id, self.clock.now);
        let same_id = voters.iter().position(|voter| voter.id == joiner.id);
        let same_address = || voters.iter().position(|voter| voter.address == joiner.address && is_absent(voter));
        let has_enough = voters.len() >= self.min_voters();
        let leaver_index = || self.voter_index_of_leaver().filter(|_| has_enough);
        let absent_index =
            || voters.iter().position(|voter| is_absent(voter) && !is_returning(voter.id)).filter(|_| has_enough);
        same_id.or_else(same_address).or_else(leaver_index).or_else(absent_index).unwrap_or(voters.len())
    }

    /// Returns whether a voter has left several heartbeats unanswered.
    fn misses_heartbeats(&self, id: NodeId) -> bool {
        let limit = self.timing.heartbeat * MISSED_HEARTBEATS_LIMIT;
        id != self.me() && self.detector.is_silent(id, self.clock.now, limit)
    }

    /// Returns whether a joiner can become a voter now.
    pub(super) fn can_become_voter(&self, joiner: &NodeAddress) -> bool {
        let (index, min_voters) = (self.voter_index_for(joiner), self.min_voters());
        let voters = self.meta.view.voters.as_slice();
        // The address belongs to another voter that counts as present; that voter must be removed first.
        let has_joiner_address = |(at, voter): (usize, &NodeAddress)| at != index && voter.address == joiner.address;
        let is_address_taken = !self.meta.view.is_voter(joiner.id) && voters.iter().enumerate().any(has_joiner_address);
        match voters.get(index) {
            _ if is_address_taken => false,
            Some(_) => true,
            None if voters.len() >= MAX_VOTERS => false,
            None if voters.len() < min_voters => true,
            // If such a voter is lost, the joiner can take its place soon.
            None if voters.iter().any(|voter| self.misses_heartbeats(voter.id)) => false,
            None => self.rules.join_requests.has_waited(joiner.id, NEW_VOTER_DELAY, self.clock.now),
        }
    }

    /// Returns the next view with a joiner at the end of the chain as the learner.
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

    /// Returns the next view with the current address of this replica, if it restarted with its disk at an address
    /// that differs from the one in the view: machines without another source of addresses use those of the view.
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

    /// Returns the next view without a voter that has been absent for long, if there are more voters than needed.
    pub(super) fn view_without_absent_voter(&self) -> Option<View> {
        let view = &self.meta.view;
        if view.learner != 0 {
            return None;
        }
        let prevents_tolerance = self.absent_voter_prevents_tolerance(view.chain.as_slice());
        let is_removable = |voter: &NodeAddress| {
            let is_given_up = prevents_tolerance || self.rules.departures.is_leaving(voter.id);
            let timeout = if is_given_up { self.timing.suspect_after } else { ABSENT_VOTER_TIMEOUT };
            !view.is_in_chain(voter.id) && self.detector.is_silent(voter.id, self.clock.now, timeout)
        };
        let voters = view.voters.as_slice();
        let index = voters.iter().position(is_removable).filter(|_| voters.len() > self.min_voters())?;
        let mut next = view.clone();
        let mut voters = next.voters.into_vec();
        voters.remove(index);
        next.voters = voters.into();
        next.number += 1;
        Some(next)
    }
}
