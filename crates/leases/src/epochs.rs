//! Configuration epochs of a router: the active one and those staged after it. Epochs are staged in the order of their
//! numbers and activated when the core says so.

use std::collections::BTreeMap;
use wire::{ConfigurationEpoch, NodeId};

/// Active configuration and staged epochs.
#[derive(Default)]
pub struct Epochs {
    active: u64,
    revision: u64,
    quorum: Vec<NodeId>,
    items: BTreeMap<String, Vec<u8>>,
    staged: BTreeMap<u64, ConfigurationEpoch>,
    /// Newest epoch that is known to exist, staged here or not.
    newest_known: u64,
    /// Whether the core confirmed the active epoch, so that later ones may be staged after it.
    pub is_initialized: bool,
}

impl Epochs {
    /// Returns the number of the active epoch, 0 before the first.
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Returns the operators' revision of the active epoch.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the routers whose majority can confirm leases on the active epoch.
    pub fn quorum(&self) -> &[NodeId] {
        &self.quorum
    }

    /// Returns the resources of the active epoch, by key.
    pub fn items(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.items.iter().map(|(key, value)| (key.as_str(), value.as_slice()))
    }

    /// Returns the newest epoch that is staged or active.
    pub fn newest_staged(&self) -> u64 {
        self.staged.keys().next_back().copied().unwrap_or(self.active)
    }

    /// Returns the newest epoch that is known to exist.
    pub fn newest_known(&self) -> u64 {
        self.newest_staged().max(self.newest_known)
    }

    /// Returns whether an epoch newer than the active one may be activated at any moment.
    pub fn knows_newer(&self) -> bool {
        self.newest_known() > self.active
    }

    /// Records that an epoch of this number exists.
    pub fn record_known(&mut self, number: u64) {
        self.newest_known = self.newest_known.max(number);
    }

    /// Returns whether this is the next epoch to stage.
    pub fn accepts(&self, number: u64) -> bool {
        number == self.newest_staged() + 1 && (self.is_initialized || self.active + 1 == number)
    }

    /// Stages an epoch if it is the next one.
    pub fn stage(&mut self, epoch: ConfigurationEpoch) {
        self.record_known(epoch.number);
        if self.accepts(epoch.number) {
            self.staged.insert(epoch.number, epoch);
        }
    }

    /// Activates staged epochs up to a number; returns whether any was activated.
    pub fn activate_to(&mut self, number: u64) -> bool {
        let before = self.active;
        while self.active < number {
            let Some(epoch) = self.staged.remove(&(self.active + 1)) else { break };
            self.activate(epoch);
        }
        self.active != before
    }

    fn activate(&mut self, epoch: ConfigurationEpoch) {
        self.active = epoch.number;
        self.revision = epoch.revision;
        self.quorum = epoch.quorum.into_vec();
        for item in epoch.items.into_vec() {
            if item.is_removed != 0 {
                self.items.remove(item.key.as_str());
            } else {
                self.items.insert(item.key.as_str().to_owned(), item.value.into_vec());
            }
        }
    }

    /// Replaces the active epoch by a complete configuration. Staged epochs are kept if they directly follow it.
    pub fn install(&mut self, number: u64, revision: u64, quorum: Vec<NodeId>, items: BTreeMap<String, Vec<u8>>) {
        self.items = items;
        self.active = number;
        self.revision = revision;
        self.quorum = quorum;
        self.staged.retain(|staged, _| *staged > number);
        if self.staged.keys().next().is_some_and(|first| *first != number + 1) {
            self.staged.clear();
        }
    }
}
