//! Operators' calls at a registry that is cut off from the others: its answers must be valid for the whole cluster,
//! and the other registries must continue to serve.

mod cluster;

use cluster::{Cluster, change, read_configuration};
use control::ApiCall;
use std::time::Duration;
use test_case::test_case;
use wire::NodeId;

const CUT: Duration = Duration::from_secs(20);

/// Direction in which a registry's links are cut.
#[derive(Clone, Copy)]
enum Cut {
    Both,
    Outgoing,
    Incoming,
}

fn cut_off(cluster: &mut Cluster, id: NodeId, cut: Cut) {
    for other in cluster.ids().into_iter().filter(|other| *other != id) {
        if !matches!(cut, Cut::Incoming) {
            cluster.cut_one_way(id, other);
        }
        if !matches!(cut, Cut::Outgoing) {
            cluster.cut_one_way(other, id);
        }
    }
}

/// Changes are sent to the isolated registry and to another one; after the cut, each accepted change is repeated at all
/// registries.
#[test_case(0, Cut::Both; "head, both ways")]
#[test_case(1, Cut::Both; "middle, both ways")]
#[test_case(2, Cut::Both; "tail, both ways")]
#[test_case(0, Cut::Outgoing; "head, outgoing")]
#[test_case(1, Cut::Outgoing; "middle, outgoing")]
#[test_case(2, Cut::Outgoing; "tail, outgoing")]
#[test_case(0, Cut::Incoming; "head, incoming")]
#[test_case(1, Cut::Incoming; "middle, incoming")]
#[test_case(2, Cut::Incoming; "tail, incoming")]
fn an_isolated_registry_decides_nothing_while_the_others_continue(position: usize, cut: Cut) {
    let mut cluster = Cluster::founded(3);
    let chain = cluster.chain();
    let (isolated, other) = (chain[position], chain[(position + 1) % 3]);
    assert_eq!(cluster.call_and_wait(other, change("first", 0)).status, 200);
    cut_off(&mut cluster, isolated, cut);
    let (mut revision, mut accepted, mut isolated_calls) = (1, vec![("first".to_owned(), 0)], Vec::new());
    for second in 0..CUT.as_secs() {
        if second % 2 == 0 {
            isolated_calls.push(cluster.call(isolated, change(&format!("alone-{second}"), revision)));
        }
        isolated_calls.push(cluster.call(isolated, read_configuration()));
        let op = format!("order-{second}");
        let reply = cluster.call_and_wait(other, change(&op, revision));
        if reply.status == 200 {
            accepted.push((op, revision));
            revision = reply.revision.expect("an acknowledgement has a revision");
        } else if reply.status == 412 {
            // A change that the isolated registry could still forward was committed first.
            let refusal: serde_json::Value = serde_json::from_str(&reply.body).expect("a refusal has a reason");
            revision =
                refusal["faults"]["latest"].as_u64().expect("the refusal of a stale change names the latest revision");
        }
        cluster.run(Duration::from_secs(1));
    }
    assert!(accepted.len() >= 8, "the others acknowledged {} changes", accepted.len());
    for request_id in isolated_calls {
        let status = cluster.reply(request_id).map(|reply| reply.status);
        assert!(status.is_none_or(|status| status >= 500), "the isolated registry answered {status:?}");
    }
    cluster.heal();
    cluster.run(Duration::from_secs(12));
    for id in cluster.ids() {
        for (op, base) in &accepted {
            assert_eq!(cluster.call_and_wait(id, change(op, *base)).status, 200, "{op} repeated at {id}");
        }
    }
    assert_eq!(
        cluster.call_and_wait(isolated, read_configuration()).revision,
        Some(revision),
        "no repeated change was applied twice"
    );
}

/// One link is lost, in one or both directions, while all others work: changes must still be acknowledged.
#[test_case(true; "both ways")]
#[test_case(false; "one way")]
fn a_lost_link_between_two_registries_blocks_no_changes(both_ways: bool) {
    for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)] {
        let mut cluster = Cluster::founded(3);
        let chain = cluster.chain();
        assert_eq!(cluster.call_and_wait(chain[0], change("first", 0)).status, 200);
        cluster.cut_one_way(chain[from], chain[to]);
        if both_ways {
            cluster.cut_one_way(chain[to], chain[from]);
        }
        let third = chain[3 - from - to];
        let (mut revision, mut acknowledged) = (1, 0);
        for second in 0..CUT.as_secs() {
            let reply = cluster.call_and_wait(third, change(&format!("order-{second}"), revision));
            revision = reply.revision.unwrap_or(revision);
            acknowledged += usize::from(reply.status == 200);
            cluster.run(Duration::from_secs(1));
        }
        assert!(acknowledged >= 15, "{acknowledged} acknowledged with the link from {from} to {to} lost");
    }
}

/// Changes that only an isolated head has appended are not committed, so no dry run may be refused because of them.
#[test]
fn a_dry_run_is_validated_against_the_committed_state() {
    let mut cluster = Cluster::founded(3);
    let head = cluster.chain()[0];
    assert_eq!(cluster.call_and_wait(head, change("first", 0)).status, 200);
    cut_off(&mut cluster, head, Cut::Both);
    cluster.call(head, change("undecided", 1));
    let ApiCall::Change { op, base, revision, full, scope, items, .. } = change("other", 1) else { return };
    let reply = cluster.call_and_wait(head, ApiCall::Change { op, base, revision, full, scope, items, dry: true });
    assert!(!(400..500).contains(&reply.status), "{reply:?}");
}
