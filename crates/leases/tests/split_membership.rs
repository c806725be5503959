//! Guards against two owners of one function while the core is unreachable: owners depend on the membership, so routers
//! that confirm each other's leases must use the same one. A router that the core has removed without its knowledge
//! learns of it from its peers before it serves again.

use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, HASHING_VERSION, Member, Membership};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Capacity, ConfigurationEpoch, LeaseMessage, NodeId};

const TAIL: NodeId = 1000;
const STEP: Duration = Duration::from_millis(5);
/// How long a confirmation by peers lasts.
const GUARD: Duration = Duration::from_millis(200);

/// Simulated routers whose messages take one step; the core answers renewals while `has_core` is set.
struct Fleet {
    routers: BTreeMap<NodeId, Follower>,
    frames: Vec<(NodeId, NodeId, LeaseMessage)>,
    now: Duration,
    has_core: bool,
    /// Routers that are partitioned from the others.
    partitioned: Vec<NodeId>,
}

fn membership(number: u64, members: &[NodeId]) -> Membership {
    let member = |id: &NodeId| Member {
        id: *id,
        incarnation: 1,
        address: "".into(),
        zone: "a".into(),
        ops: "".into(),
        leaving: 0,
        hashing: HASHING_VERSION,
        capacity: Capacity { processor_milli: 1000, link_kbit: 2000 },
    };
    Membership { number, members: members.iter().map(member).collect::<Vec<_>>().into() }
}

fn membership_message(membership: &Membership) -> LeaseMessage {
    let change = membership.change_since(&Membership::default());
    let packed = wire::compress(&wire::to_bytes(&change));
    LeaseMessage::MembershipChange { since: 0, number: membership.number, size: packed.size, body: packed.bytes }
}

impl Fleet {
    /// Creates routers that are all members of membership 1, have epoch 1 active and hold a lease by the core.
    fn new(count: NodeId, relay_above: usize) -> Fleet {
        let ids: Vec<NodeId> = (1..=count).collect();
        let timing = FollowerTiming { relay_above, ..FollowerTiming::default() };
        let follower = |id: &NodeId| (*id, Follower::new(*id, 1, "", "a", "", timing.clone()));
        let routers = ids.iter().map(follower).collect();
        let mut fleet =
            Fleet { routers, frames: Vec::new(), now: Duration::ZERO, has_core: true, partitioned: Vec::new() };
        let quorum: Vec<NodeId> = ids.clone();
        let step = ConfigurationEpoch { number: 1, revision: 1, quorum: quorum.into(), items: Vec::new().into() };
        for id in &ids {
            fleet.deliver(*id, TAIL, membership_message(&membership(1, &ids)));
            fleet.deliver(*id, TAIL, LeaseMessage::Stage { epoch: step.clone() });
            fleet.deliver(*id, TAIL, LeaseMessage::Activate { number: 1 });
        }
        fleet.advance(Duration::from_millis(600), |_| {});
        fleet
    }

    fn deliver(&mut self, to: NodeId, from: NodeId, message: LeaseMessage) {
        let input = match message.is_from_peer() {
            true => FollowerInput::Peer { from, message },
            false => FollowerInput::Registry { from, message },
        };
        self.step_router(to, input);
    }

    fn step_router(&mut self, id: NodeId, input: FollowerInput) {
        let Some(router) = self.routers.get_mut(&id) else { return };
        for output in router.step(self.now, input) {
            match output {
                FollowerOutput::ToPeer { to, message } => self.frames.push((id, to, message)),
                FollowerOutput::ToRegistry { message: LeaseMessage::Renew { request_id, .. }, .. } if self.has_core => {
                    let confirmation = LeaseMessage::Proof { request_id, active: 1, latest: 1, is_member: 1 };
                    self.frames.push((TAIL, id, confirmation));
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, time: Duration, mut check: impl FnMut(&mut Fleet)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (from, to, message) in std::mem::take(&mut self.frames) {
                if self.partitioned.contains(&from) == self.partitioned.contains(&to) {
                    self.deliver(to, from, message);
                }
            }
            for id in self.routers.keys().copied().collect::<Vec<_>>() {
                self.step_router(id, FollowerInput::Tick);
            }
            check(self);
        }
    }

    /// Returns the routers that serve now, each with the number of its membership.
    fn serving(&self) -> Vec<(NodeId, u64)> {
        let serving = self.routers.iter().filter(|(_, router)| self.now < router.serves_until());
        serving.map(|(id, router)| (*id, router.membership().number)).collect()
    }

    fn owners(&self, function: &str) -> Vec<NodeId> {
        let owns = |(id, _): &(NodeId, u64)| self.routers[id].membership().owner(function) == Some(*id);
        self.serving().into_iter().filter(owns).map(|(id, _)| id).collect()
    }
}

/// Partitions half of the routers; the core removes them and then fails itself; then the partition heals.
fn heal_after_the_core_removed_half(count: NodeId, relay_above: usize) -> Fleet {
    let mut fleet = Fleet::new(count, relay_above);
    fleet.partitioned = (count / 2 + 1..=count).collect();
    fleet.has_core = false;
    let kept: Vec<NodeId> = (1..=count / 2).collect();
    for id in &kept {
        fleet.deliver(*id, TAIL, membership_message(&membership(2, &kept)));
    }
    fleet.advance(Duration::from_millis(3000), |_| {});
    assert_eq!(fleet.serving(), [], "neither side has a majority or the core");
    fleet.partitioned.clear();
    fleet
}

#[test]
fn routers_confirmed_by_peers_agree_on_one_owner_per_function() {
    let mut fleet = heal_after_the_core_removed_half(4, 12);
    fleet.advance(Duration::from_millis(1000), |fleet| {
        for function in ["t/a", "t/b", "t/c", "t/d", "t/e", "t/f"] {
            let owners = fleet.owners(function);
            assert!(owners.len() <= 1, "{function} has the owners {owners:?} at {:?}", fleet.now);
        }
    });
    assert_eq!(fleet.serving(), [(1, 2), (2, 2), (3, 2), (4, 2)], "all serve under the newest membership");
}

#[test]
fn confirmations_through_relays_check_the_membership() {
    let mut fleet = heal_after_the_core_removed_half(16, 12);
    fleet.advance(Duration::from_millis(1500), |fleet| {
        let numbers: Vec<u64> = fleet.serving().into_iter().map(|(_, number)| number).collect();
        assert!(numbers.iter().all(|number| *number == 2), "{numbers:?} at {:?}", fleet.now);
    });
    assert_eq!(fleet.serving().len(), 16, "all serve");
}

/// The core removes a router that it cannot reach while the router's peers still confirm its lease.
#[test]
fn router_unreachable_only_for_the_core_learns_of_its_removal() {
    let mut fleet = Fleet::new(4, 12);
    fleet.has_core = false;
    fleet.advance(Duration::from_millis(2000), |_| {});
    assert_eq!(fleet.serving().len(), 4, "all serve on confirmations by peers");
    for id in 1..=3 {
        fleet.deliver(id, TAIL, membership_message(&membership(2, &[1, 2, 3])));
    }
    let dropped_at = fleet.now;
    fleet.advance(Duration::from_millis(1000), |fleet| {
        let behind = fleet.serving().into_iter().any(|(_, number)| number < 2);
        assert!(!behind || fleet.now <= dropped_at + GUARD, "at {:?}", fleet.now);
    });
}

/// Replies from routers of an older wire format name no membership and still count as confirmations.
#[test]
fn replies_without_a_membership_still_confirm() {
    let mut fleet = Fleet::new(4, 12);
    fleet.has_core = false;
    fleet.partitioned = vec![2, 3, 4];
    fleet.advance(Duration::from_millis(2000), |_| {});
    let outputs = fleet.routers.get_mut(&1).map(|router| router.step(fleet.now + GUARD, FollowerInput::Tick));
    let request_id = outputs.into_iter().flatten().find_map(|output| match output {
        FollowerOutput::ToPeer { message: LeaseMessage::PeerRequest { request_id, .. }, .. } => Some(request_id),
        _ => None,
    });
    let request_id = request_id.expect("without the core, the router sends requests to its peers");
    fleet.now += GUARD;
    for from in [2, 3] {
        fleet.deliver(1, from, LeaseMessage::PeerEpochReply { request_id, active: 1, latest: 1 });
    }
    assert_eq!(fleet.serving(), [(1, 1)]);
}
