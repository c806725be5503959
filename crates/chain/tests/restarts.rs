//! Restarts of all members at once: planned stops of all, lost final messages, changed addresses.

mod net;

use chain::Input;
use net::Net;
use std::time::Duration;

/// Deadline so near that a replica leaves before another has replaced it.
const SHORT_DEADLINE: Duration = Duration::from_millis(300);

#[test]
fn a_view_decided_by_a_leaver_alone_is_adopted_by_the_others_while_they_leave_too() {
    for (first, ms) in [(1, 0), (2, 0), (3, 0), (1, 2), (2, 2), (3, 2)] {
        let mut net = Net::founded();
        net.propose_entry(1, "kept");
        net.deliver_all();
        net.step(first, Input::Leave { within: SHORT_DEADLINE });
        net.now += Duration::from_millis(ms);
        // Messages are delivered until the leaver has decided the view; those it sends later are lost.
        while net.members[&first].is_in_chain() {
            net.deliver(1);
        }
        net.members.remove(&first);
        let remaining: Vec<u64> = net.members.keys().copied().collect();
        remaining.iter().for_each(|id| net.step(*id, Input::Leave { within: Duration::from_secs(4) }));
        net.advance(4000);
        for id in &remaining {
            assert_eq!(net.members[id].view().chain.as_slice(), &remaining[..], "member {id}, leaver {first}");
        }
    }
}

fn addresses(net: &Net, id: u64) -> Vec<String> {
    net.members[&id].view().voters.iter().map(|voter| voter.address.as_str().to_owned()).collect()
}

#[test]
fn the_next_views_name_the_new_addresses_of_members_restarted_with_their_disks() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    for round in 1..=5 {
        net.members.clear();
        net.frames.clear();
        net.writes.clear();
        for id in 1..=3 {
            net.addresses.insert(id, format!("10.0.{round}.{id}:1").into());
            net.start(id);
        }
        net.advance(4000);
        let expected: Vec<String> = (1..=3).map(|id| format!("10.0.{round}.{id}:1")).collect();
        for id in 1..=3 {
            let mut listed = addresses(&net, id);
            listed.sort();
            assert_eq!(listed, expected, "round {round}, member {id}");
        }
        let head = net.chain(1)[0];
        let op = net.propose_entry(head, "more");
        net.advance(500);
        assert!(net.finished.iter().any(|(_, done, appended)| *done == op && *appended), "round {round}");
    }
}

#[test]
fn a_new_machine_at_the_former_address_of_another_is_admitted() {
    let mut net = Net::founded();
    net.members.remove(&3);
    net.addresses.insert(3, "10.0.9.3:1".into());
    net.start(3);
    net.advance(3000);
    net.addresses.insert(4, net::node(3).address);
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(8000);
    assert_eq!(net.chain(1).len(), 4, "{:?}", net.members[&1].view());
}
