//! Work that the control thread continues while a planned stop waits for the other registries.

use super::*;
use crate::apply::apply;
use crate::core::{Core, CoreTiming};
use chain::{ChainReplica, Meta, Store, StoredReplica, Timing};
use kernel::inbox;
use std::thread;
use wire::{ChainMessage, NodeAddress};

const INBOX: usize = 4096;

fn node(id: u64) -> NodeAddress {
    NodeAddress { id, address: format!("10.0.0.{id}:1").into() }
}

/// Returns one of three registries whose peers do not answer, so that it cannot leave the chain.
fn control(links: InboxSender<LinkOrder>) -> Control {
    let voters: Vec<NodeAddress> = (1..=3).map(node).collect();
    let view = View { number: 1, chain: vec![1, 2, 3].into(), voters: voters.into(), learner: 0, optimizer: 2 };
    let stored = StoredReplica { meta: Meta { node: node(1), view, ..Meta::default() }, ..StoredReplica::default() };
    let folder = std::env::temp_dir().join(format!("heronlink-control-loop-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("registry.redb");
    let (store, _) = Store::open(&file, "test", node(1)).unwrap();
    let reopen = move || Store::reopen(&file, "test", &node(1));
    let disk = DiskWriter::start(store, reopen, |_| {}).unwrap();
    let replica = ChainReplica::new(node(1), stored, Timing::default(), apply, Duration::ZERO);
    let (optimizer, _) = inbox(INBOX);
    Control {
        core: Core::new(replica, CoreTiming::default(), 1),
        disk,
        links,
        optimizer,
        calls: BTreeMap::new(),
        last_call_id: 0,
        status: watch::channel(String::new()).0,
        sent_revision: None,
        status_published_at: Instant::now(),
        membership: MembershipLog::default(),
        seeds: Vec::new(),
        grace: Duration::from_secs(4),
        reported_registries: Vec::new(),
    }
}

#[test]
fn a_registry_that_waits_to_leave_keeps_sending_heartbeats() {
    let (links, mut orders) = inbox(INBOX);
    let (sender, messages) = inbox(INBOX);
    assert!(sender.send(ControlMessage::Stop).is_ok());
    let running = thread::spawn(move || kernel::local(control(links).run(sender, messages)));
    let mut proposals = 0;
    let mut heartbeats = 0;
    // The inbox closes when the control loop ends.
    while heartbeats < 5
        && let Some(order) = orders.next_blocking()
    {
        match order {
            LinkOrder::Send { message: Message::Chain(ChainMessage::Prepare { .. }), .. } => proposals += 1,
            LinkOrder::Send { message: Message::Chain(ChainMessage::Heartbeat { .. }), .. } if proposals > 0 => {
                heartbeats += 1
            }
            _ => {}
        }
    }
    assert_eq!(heartbeats, 5, "the registry sent no heartbeats after it had proposed to leave");
    running.join().unwrap();
}
