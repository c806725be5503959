//! Owners follow from the membership, so routers that serve on each other's word go by one membership: whoever the
//! core has dropped without its knowing learns it from its peers before it serves again.

use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, HASHING, Member, Membership};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Capacity, ConfigurationEpoch, LeaseMessage, NodeId};

const TAIL: NodeId = 1000;
const STEP: Duration = Duration::from_millis(5);
/// How long a confirmation by peers lasts.
const GUARD: Duration = Duration::from_millis(200);

/// Routers whose messages to each other take one step; the core answers while it is there.
struct Fleet {
    routers: BTreeMap<NodeId, Follower>,
    frames: Vec<(NodeId, NodeId, LeaseMessage)>,
    now: Duration,
    has_core: bool,
    /// Routers on one side of a cut that parts them from the others.
    cut_off: Vec<NodeId>,
}

fn membership(number: u64, members: &[NodeId]) -> Membership {
    let line = |id: &NodeId| Member {
        id: *id,
        incarnation: 1,
        address: "".into(),
        zone: "a".into(),
        ops: "".into(),
        leaving: 0,
        hashing: HASHING,
        capacity: Capacity { processor_milli: 1000, link_kbit: 2000 },
    };
    Membership { number, members: members.iter().map(line).collect::<Vec<_>>().into() }
}

fn told(membership: &Membership) -> LeaseMessage {
    let change = membership.change_since(&Membership::default());
    let packed = wire::compress(&wire::to_bytes(&change));
    LeaseMessage::MembershipChange { since: 0, number: membership.number, size: packed.size, body: packed.bytes }
}

impl Fleet {
    /// All are members under number 1, have the first epoch active and hold a lease of the core.
    fn new(count: NodeId, relay_above: usize) -> Fleet {
        let ids: Vec<NodeId> = (1..=count).collect();
        let timing = FollowerTiming { relay_above, ..FollowerTiming::default() };
        let follower = |id: &NodeId| (*id, Follower::new(*id, 1, "", "a", "", timing.clone()));
        let routers = ids.iter().map(follower).collect();
        let mut fleet = Fleet { routers, frames: Vec::new(), now: Duration::ZERO, has_core: true, cut_off: Vec::new() };
        let quorum: Vec<NodeId> = ids.clone();
        let step = ConfigurationEpoch { number: 1, revision: 1, quorum: quorum.into(), items: Vec::new().into() };
        for id in &ids {
            fleet.tell(*id, TAIL, told(&membership(1, &ids)));
            fleet.tell(*id, TAIL, LeaseMessage::Stage { epoch: step.clone() });
            fleet.tell(*id, TAIL, LeaseMessage::Activate { number: 1 });
        }
        fleet.pass(Duration::from_millis(600), |_| {});
        fleet
    }

    fn tell(&mut self, to: NodeId, from: NodeId, message: LeaseMessage) {
        let input = match message.is_from_peer() {
            true => FollowerInput::Peer { from, message },
            false => FollowerInput::Registry { from, message },
        };
        self.feed(to, input);
    }

    fn feed(&mut self, id: NodeId, input: FollowerInput) {
        let Some(router) = self.routers.get_mut(&id) else { return };
        for output in router.step(self.now, input) {
            match output {
                FollowerOutput::ToPeer { to, message } => self.frames.push((id, to, message)),
                FollowerOutput::ToRegistry { message: LeaseMessage::Renew { request_id, .. }, .. } if self.has_core => {
                    let proof = LeaseMessage::Proof { request_id, active: 1, latest: 1, member: 1 };
                    self.frames.push((TAIL, id, proof));
                }
                _ => {}
            }
        }
    }

    fn pass(&mut self, time: Duration, mut check: impl FnMut(&mut Fleet)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (from, to, message) in std::mem::take(&mut self.frames) {
                if self.cut_off.contains(&from) == self.cut_off.contains(&to) {
                    self.tell(to, from, message);
                }
            }
            for id in self.routers.keys().copied().collect::<Vec<_>>() {
                self.feed(id, FollowerInput::Tick);
            }
            check(self);
        }
    }

    /// The routers that serve at this moment, with the number of the membership they go by.
    fn serving(&self) -> Vec<(NodeId, u64)> {
        let serving = self.routers.iter().filter(|(_, router)| self.now < router.serves_until());
        serving.map(|(id, router)| (*id, router.membership().number)).collect()
    }

    fn owners(&self, function: &str) -> Vec<NodeId> {
        let owns = |(id, _): &(NodeId, u64)| self.routers[id].membership().owner(function) == Some(*id);
        self.serving().into_iter().filter(owns).map(|(id, _)| id).collect()
    }
}

/// Half of the routers are cut off, the core drops them and is lost itself; then the cut heals.
fn heal_after_the_core_dropped_half(count: NodeId, relay_above: usize) -> Fleet {
    let mut fleet = Fleet::new(count, relay_above);
    fleet.cut_off = (count / 2 + 1..=count).collect();
    fleet.has_core = false;
    let kept: Vec<NodeId> = (1..=count / 2).collect();
    for id in &kept {
        fleet.tell(*id, TAIL, told(&membership(2, &kept)));
    }
    fleet.pass(Duration::from_millis(3000), |_| {});
    assert_eq!(fleet.serving(), [], "neither side has a majority or a core");
    fleet.cut_off.clear();
    fleet
}

#[test]
fn routers_that_serve_on_each_others_word_have_one_owner_for_each_function() {
    let mut fleet = heal_after_the_core_dropped_half(4, 12);
    fleet.pass(Duration::from_millis(1000), |fleet| {
        for function in ["t/a", "t/b", "t/c", "t/d", "t/e", "t/f"] {
            let owners = fleet.owners(function);
            assert!(owners.len() <= 1, "{function} has the owners {owners:?} at {:?}", fleet.now);
        }
    });
    assert_eq!(fleet.serving(), [(1, 2), (2, 2), (3, 2), (4, 2)], "all serve, by the newest membership");
}

#[test]
fn relays_vouch_for_the_membership_too() {
    let mut fleet = heal_after_the_core_dropped_half(16, 12);
    fleet.pass(Duration::from_millis(1500), |fleet| {
        let numbers: Vec<u64> = fleet.serving().into_iter().map(|(_, number)| number).collect();
        assert!(numbers.iter().all(|number| *number == 2), "{numbers:?} at {:?}", fleet.now);
    });
    assert_eq!(fleet.serving().len(), 16, "all serve");
}

/// One that only the core cannot reach is dropped by it while its peers still confirm its lease.
#[test]
fn a_router_that_only_the_core_lost_learns_that_it_was_dropped() {
    let mut fleet = Fleet::new(4, 12);
    fleet.has_core = false;
    fleet.pass(Duration::from_millis(2000), |_| {});
    assert_eq!(fleet.serving().len(), 4, "all serve on each other's word");
    for id in 1..=3 {
        fleet.tell(id, TAIL, told(&membership(2, &[1, 2, 3])));
    }
    let dropped_at = fleet.now;
    fleet.pass(Duration::from_millis(1000), |fleet| {
        let behind = fleet.serving().into_iter().any(|(_, number)| number < 2);
        assert!(!behind || fleet.now <= dropped_at + GUARD, "at {:?}", fleet.now);
    });
}

/// A router of an earlier format tells no membership: its word counts as it did.
#[test]
fn peers_that_tell_no_membership_still_confirm() {
    let mut fleet = Fleet::new(4, 12);
    fleet.has_core = false;
    fleet.cut_off = vec![2, 3, 4];
    fleet.pass(Duration::from_millis(2000), |_| {});
    let asked = fleet.routers.get_mut(&1).map(|router| router.step(fleet.now + GUARD, FollowerInput::Tick));
    let request_id = asked.into_iter().flatten().find_map(|output| match output {
        FollowerOutput::ToPeer { message: LeaseMessage::PeerRequest { request_id, .. }, .. } => Some(request_id),
        _ => None,
    });
    let request_id = request_id.expect("without the core, peers are asked");
    fleet.now += GUARD;
    for from in [2, 3] {
        fleet.tell(1, from, LeaseMessage::PeerEpochReply { request_id, active: 1, latest: 1 });
    }
    assert_eq!(fleet.serving(), [(1, 1)]);
}
