//! One owner reads the provider's lists on behalf of all.

mod common;

use common::provider::{line, routes_of, worker};
use common::{membership, ms};
use instance_provider::{InstanceLine, InstanceState, Listing, ProviderOrder, ProviderReport};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use traffic::{FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{ForwardMessage, NodeId};

const IDS: [NodeId; 4] = [3, 5, 7, 11];

/// Owners that receive each other's messages without delay, and a provider that replies without delay.
struct Owners {
    owners: BTreeMap<NodeId, FunctionOwner>,
    at: u64,
    list: Vec<InstanceLine>,
    reads: BTreeMap<NodeId, usize>,
    disconnected: Option<NodeId>,
    bytes: usize,
}

impl Owners {
    fn new(list: Vec<InstanceLine>) -> Owners {
        // Starts are expensive, so that instances without requests are kept.
        let settings = OwnerSettings { start_gb_seconds: 100.0, ..OwnerSettings::default() };
        let owners = IDS.map(|id| (id, FunctionOwner::new(id, 1, settings.clone()))).into();
        let mut all = Owners { owners, at: 0, list, reads: BTreeMap::new(), disconnected: None, bytes: 0 };
        for id in IDS {
            all.feed(id, OwnerInput::RouteTable { routes: Rc::new(bindings::RouteTable::default()) });
            all.feed(id, OwnerInput::Membership { membership: membership(7, &IDS) });
            all.feed(id, OwnerInput::RouteTable { routes: routes_of(0) });
        }
        all
    }

    fn feed(&mut self, id: NodeId, input: OwnerInput) {
        let outputs = self.owners.get_mut(&id).unwrap().step(ms(self.at), true, input);
        for output in outputs {
            match output {
                OwnerOutput::ProviderOrder(ProviderOrder::List) => {
                    *self.reads.entry(id).or_default() += 1;
                    let listing = Listing { instances: self.list.clone() };
                    self.report(id, ProviderReport::Listed { listing, requested_at: Instant::now() });
                }
                OwnerOutput::ProviderOrder(ProviderOrder::Workers) => {
                    let lines = vec![worker("w0", "a", 4096, true)];
                    self.report(id, ProviderReport::Workers { lines, requested_at: Instant::now() });
                }
                OwnerOutput::Forward { to, message }
                    if self.disconnected != Some(to) && self.disconnected != Some(id) =>
                {
                    if let ForwardMessage::Inventory { inventory } = &message {
                        self.bytes += wire::to_bytes(inventory).len();
                    }
                    self.feed(to, OwnerInput::Forward { from: id, message });
                }
                _ => {}
            }
        }
    }

    fn report(&mut self, id: NodeId, report: ProviderReport) {
        let listed_at = ms(self.at);
        self.feed(id, OwnerInput::ProviderReport { report, listed_at });
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.at += 20;
            IDS.into_iter().for_each(|id| self.feed(id, OwnerInput::Tick));
        }
    }

    fn owner(&self) -> NodeId {
        membership(7, &IDS).owner("t/f").unwrap()
    }

    fn ready(&mut self) -> u64 {
        let id = self.owner();
        self.owners.get_mut(&id).unwrap().status()["functions"]["t/f"]["ready"].as_u64().unwrap_or_default()
    }
}

/// Returns the first owner in the reading order.
fn first_reader() -> NodeId {
    membership(7, &IDS).in_order_of_preference("inventory")[0]
}

#[test]
fn one_owner_reads_the_list_and_sends_it_to_the_others() {
    let mut all = Owners::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(5000);
    assert_eq!(all.reads.keys().copied().collect::<Vec<_>>(), [first_reader()], "{:?}", all.reads);
    assert!((4..=6).contains(&all.reads[&first_reader()]));
    assert_eq!(all.ready(), 1);
    let before = std::mem::take(&mut all.bytes);
    all.pass(5000);
    assert!(all.bytes < 1500, "{} after {before} bytes, though nothing changed", all.bytes);
    all.list.clear();
    all.pass(1100);
    assert_eq!(all.ready(), 0, "an instance that is no longer listed is dropped by its owner");
}

#[test]
fn the_next_owner_reads_while_the_first_is_silent_and_stops_when_it_is_back() {
    let mut all = Owners::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(3000);
    all.disconnected = Some(first_reader());
    let next = membership(7, &IDS).in_order_of_preference("inventory")[1];
    all.pass(6000);
    let reads = all.reads.clone();
    assert!(reads.len() == 2 && (3..=6).contains(&reads[&next]), "{reads:?}");
    all.disconnected = None;
    all.pass(6000);
    assert!(all.reads[&next] <= reads[&next] + 1 && all.reads.len() == 2, "{:?}", all.reads);
}

#[test]
fn an_owner_that_missed_a_change_asks_for_the_complete_inventory() {
    let mut all = Owners::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(2000);
    all.disconnected = IDS.into_iter().find(|id| *id != first_reader());
    all.list.push(line("i22", "w0", InstanceState::Running));
    all.pass(1060);
    all.disconnected = None;
    all.pass(2000);
    assert_eq!(all.ready(), 2);
    all.list[0].state = InstanceState::Leaving;
    all.pass(1100);
    assert_eq!(all.ready(), 1);
}

#[test]
fn an_owner_that_starts_without_a_table_reads_a_list_of_its_own() {
    let mut all = Owners::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(2000);
    let lost = all.owner();
    let remaining: Vec<NodeId> = IDS.into_iter().filter(|id| *id != lost).collect();
    let after = membership(8, &remaining);
    let next = after.owner("t/f").unwrap();
    let before = all.reads.get(&next).copied().unwrap_or_default();
    for id in remaining {
        all.feed(id, OwnerInput::Membership { membership: after.clone() });
    }
    all.pass(Duration::from_millis(800).as_millis() as u64);
    assert!(all.reads[&next] > before, "{:?}", all.reads);
}

#[test]
fn a_list_for_an_adoption_is_ordered_as_soon_as_the_lease_is_valid() {
    let mut owner = FunctionOwner::new(3, 1, OwnerSettings::default());
    let lists = |outputs: &[OwnerOutput]| {
        outputs.iter().filter(|output| matches!(output, OwnerOutput::ProviderOrder(ProviderOrder::List))).count()
    };
    owner.step(ms(0), false, OwnerInput::Membership { membership: membership(7, &[3]) });
    owner.step(ms(0), false, OwnerInput::RouteTable { routes: routes_of(0) });
    let before: usize = (1..=90).map(|n| lists(&owner.step(ms(n * 10), false, OwnerInput::Tick))).sum();
    assert!(before <= 1, "{before} lists without a lease, besides the one read for all owners");
    let after: usize = (91..=93).map(|n| lists(&owner.step(ms(n * 10), true, OwnerInput::Tick))).sum();
    assert_eq!(after, 1, "at once, although a list was read lately");
}
