//! One owner reads the provider's list for all.

mod common;

use common::supplied::{line, routes_of, worker};
use common::{membership, ms};
use instance_provider::{InstanceLine, InstanceState, Listing, ProviderOrder, ProviderReport};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use traffic::{FunctionOwner, OwnerInput, OwnerOutput, OwnerTiming};
use wire::{ForwardMessage, NodeId};

const IDS: [NodeId; 4] = [3, 5, 7, 11];

/// Owners that hear each other at once, and a provider that answers at once.
struct Homes {
    owners: BTreeMap<NodeId, FunctionOwner>,
    at: u64,
    list: Vec<InstanceLine>,
    looks: BTreeMap<NodeId, usize>,
    deaf: Option<NodeId>,
    bytes: usize,
}

impl Homes {
    fn new(list: Vec<InstanceLine>) -> Homes {
        // Starts are dear, so that what nobody calls is kept.
        let timing = OwnerTiming { start_gb_seconds: 100.0, ..OwnerTiming::default() };
        let owners = IDS.map(|id| (id, FunctionOwner::new(id, 1, timing.clone()))).into();
        let mut all = Homes { owners, at: 0, list, looks: BTreeMap::new(), deaf: None, bytes: 0 };
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
                OwnerOutput::Supply(ProviderOrder::List) => {
                    *self.looks.entry(id).or_default() += 1;
                    let listing = Listing { instances: self.list.clone() };
                    self.tell(id, ProviderReport::Listed { listing, asked: Instant::now() });
                }
                OwnerOutput::Supply(ProviderOrder::Workers) => {
                    let lines = vec![worker("w0", "a", 4096, true)];
                    self.tell(id, ProviderReport::Workers { lines, asked: Instant::now() });
                }
                OwnerOutput::Forward { to, message } if self.deaf != Some(to) && self.deaf != Some(id) => {
                    if let ForwardMessage::Inventory { inventory } = &message {
                        self.bytes += wire::to_bytes(inventory).len();
                    }
                    self.feed(to, OwnerInput::Forward { from: id, message });
                }
                _ => {}
            }
        }
    }

    fn tell(&mut self, id: NodeId, report: ProviderReport) {
        let listed_at = ms(self.at);
        self.feed(id, OwnerInput::Platform { report, listed_at });
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

fn first() -> NodeId {
    membership(7, &IDS).in_order_of_preference("inventory")[0]
}

#[test]
fn one_owner_reads_and_the_others_know_by_what_it_tells() {
    let mut all = Homes::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(5000);
    assert_eq!(all.looks.keys().copied().collect::<Vec<_>>(), [first()], "{:?}", all.looks);
    assert!((4..=6).contains(&all.looks[&first()]));
    assert_eq!(all.ready(), 1);
    let before = std::mem::take(&mut all.bytes);
    all.pass(5000);
    assert!(all.bytes < 1500, "{} after {before} bytes, though nothing changed", all.bytes);
    all.list.clear();
    all.pass(1100);
    assert_eq!(all.ready(), 0, "what is gone from the list is gone everywhere");
}

#[test]
fn the_next_in_turn_reads_when_the_first_is_not_heard_and_stops_when_it_is_back() {
    let mut all = Homes::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(3000);
    all.deaf = Some(first());
    let next = membership(7, &IDS).in_order_of_preference("inventory")[1];
    all.pass(6000);
    let looks = all.looks.clone();
    assert!(looks.len() == 2 && (3..=6).contains(&looks[&next]), "{looks:?}");
    all.deaf = None;
    all.pass(6000);
    assert!(all.looks[&next] <= looks[&next] + 1 && all.looks.len() == 2, "{:?}", all.looks);
}

#[test]
fn an_owner_that_missed_a_change_asks_for_the_complete_inventory() {
    let mut all = Homes::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(2000);
    all.deaf = IDS.into_iter().find(|id| *id != first());
    all.list.push(line("i22", "w0", InstanceState::Running));
    all.pass(1060);
    all.deaf = None;
    all.pass(2000);
    assert_eq!(all.ready(), 2);
    all.list[0].state = InstanceState::Leaving;
    all.pass(1100);
    assert_eq!(all.ready(), 1);
}

#[test]
fn an_owner_that_begins_without_a_table_reads_a_list_of_its_own_after_it() {
    let mut all = Homes::new(vec![line("i1", "w0", InstanceState::Running)]);
    all.pass(2000);
    let lost = all.owner();
    let left: Vec<NodeId> = IDS.into_iter().filter(|id| *id != lost).collect();
    let after = membership(8, &left);
    let next = after.owner("t/f").unwrap();
    let before = all.looks.get(&next).copied().unwrap_or_default();
    for id in left {
        all.feed(id, OwnerInput::Membership { membership: after.clone() });
    }
    all.pass(Duration::from_millis(800).as_millis() as u64);
    assert!(all.looks[&next] > before, "{:?}", all.looks);
}

#[test]
fn an_owner_without_a_lease_orders_no_list_and_one_as_soon_as_it_has_it() {
    let mut owner = FunctionOwner::new(3, 1, OwnerTiming::default());
    let lists = |outputs: &[OwnerOutput]| {
        outputs.iter().filter(|output| matches!(output, OwnerOutput::Supply(ProviderOrder::List))).count()
    };
    owner.step(ms(0), false, OwnerInput::Membership { membership: membership(7, &[3]) });
    owner.step(ms(0), false, OwnerInput::RouteTable { routes: routes_of(0) });
    let before: usize = (1..=90).map(|n| lists(&owner.step(ms(n * 10), false, OwnerInput::Tick))).sum();
    assert!(before <= 1, "{before} lists while none can count, beside the one that is read for all");
    let after: usize = (91..=93).map(|n| lists(&owner.step(ms(n * 10), true, OwnerInput::Tick))).sum();
    assert_eq!(after, 1, "at once, though one was read lately");
}
