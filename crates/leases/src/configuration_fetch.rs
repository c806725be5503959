//! Fetches the complete active configuration for a router that is new, or so far behind that the core no longer keeps
//! the epochs it lacks. It arrives in packed parts, or in pages from a core of an older wire format. A page of another
//! epoch than the first page's ends the fetch.

use crate::follower::Follower;
use crate::follower_types::FollowerOutput;
use crate::part_transfer::PartialTransfer;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ConfigurationItem, LeaseMessage, NodeId, Text};

/// Fetch of the complete configuration in progress.
pub struct ConfigurationFetch {
    pub request_id: u64,
    pub epoch: Option<u64>,
    pub resources: BTreeMap<String, Vec<u8>>,
    pub parts: Option<PartialTransfer>,
    pub progressed_at: Duration,
}

impl Follower {
    pub(crate) fn begin_fetch(&mut self, from: NodeId) {
        let request_id = self.next_request_number();
        self.transfers.fetch = Some(ConfigurationFetch {
            request_id,
            epoch: None,
            resources: BTreeMap::new(),
            parts: None,
            progressed_at: self.now,
        });
        self.send_to_registry(Some(from), LeaseMessage::PartRequest { request_id, full: 1, number: 0, offset: 0 });
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn handle_configuration_page(
        &mut self,
        from: NodeId,
        request_id: u64,
        step: u64,
        revision: u64,
        quorum: Vec<NodeId>,
        items: Vec<ConfigurationItem>,
        next: Text,
    ) {
        let now = self.now;
        let Some(fetch) = self.transfers.fetch.as_mut().filter(|fetch| fetch.request_id == request_id) else { return };
        if fetch.epoch.is_some_and(|first| first != step) || step <= self.epochs.active() {
            self.transfers.fetch = None;
            return;
        }
        fetch.epoch = Some(step);
        fetch.progressed_at = now;
        for item in items {
            fetch.resources.insert(item.key.as_str().to_owned(), item.value.into_vec());
        }
        if !next.as_str().is_empty() {
            return self.send_to_registry(Some(from), LeaseMessage::ConfigurationRequest { request_id, from: next });
        }
        let resources = std::mem::take(&mut fetch.resources);
        self.install(step, revision, quorum, resources);
    }

    pub(crate) fn install(
        &mut self,
        number: u64,
        revision: u64,
        quorum: Vec<NodeId>,
        items: BTreeMap<String, Vec<u8>>,
    ) {
        self.transfers.fetch = None;
        self.epochs.install(number, revision, quorum, items);
        self.lease.reset();
        self.outputs.push(FollowerOutput::Activated { step: number, revision });
    }
}
