//! Fetches the complete active configuration for a router that is new, or so far behind that the core no longer keeps
//! the epochs it lacks. It arrives in packed parts, or in pages from a core of an older wire format. A page of another
//! epoch than the first page's ends the fetch.

use crate::follower::Follower;
use crate::follower_types::FollowerOutput;
use crate::step_parts::Arriving;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ConfigurationItem, LeaseMessage, NodeId, Text};

/// Fetch of the complete configuration in progress.
pub struct Fetch {
    pub request_id: u64,
    pub step: Option<u64>,
    pub pairs: BTreeMap<String, Vec<u8>>,
    pub parts: Option<Arriving>,
    pub moved: Duration,
}

impl Follower {
    pub(crate) fn begin_fetch(&mut self, from: NodeId) {
        let request_id = self.next_request_number();
        self.transfers.fetch =
            Some(Fetch { request_id, step: None, pairs: BTreeMap::new(), parts: None, moved: self.now });
        self.send_to_registry(Some(from), LeaseMessage::PartRequest { request_id, full: 1, number: 0, offset: 0 });
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_configuration_page(
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
        if fetch.step.is_some_and(|first| first != step) || step <= self.epochs.active() {
            self.transfers.fetch = None;
            return;
        }
        fetch.step = Some(step);
        fetch.moved = now;
        for item in items {
            fetch.pairs.insert(item.key.as_str().to_owned(), item.value.into_vec());
        }
        if !next.as_str().is_empty() {
            return self.send_to_registry(Some(from), LeaseMessage::ConfigurationRequest { request_id, from: next });
        }
        let pairs = std::mem::take(&mut fetch.pairs);
        self.install(step, revision, quorum, pairs);
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
        self.outs.push(FollowerOutput::Activated { step: number, revision });
    }
}
