//! Changes that are repeated after lost answers: at any registry, after newer changes, after restarts and network
//! cuts, while the first attempt is still in progress, and eight at a time.

mod cluster;

use cluster::{Cluster, change, read_configuration};
use std::time::Duration;

fn cut_off(cluster: &mut Cluster, isolated: u64) {
    for other in cluster.ids().into_iter().filter(|other| *other != isolated) {
        cluster.cut_one_way(isolated, other);
        cluster.cut_one_way(other, isolated);
    }
}

#[test]
fn of_eight_changes_on_one_revision_one_is_accepted_and_the_others_are_refused_as_stale() {
    let mut cluster = Cluster::founded(3);
    for (round, base) in [(0, 0), (1, 1), (2, 2)] {
        let request_ids: Vec<u64> =
            (0..8).map(|n| cluster.call(1 + n % 3, change(&format!("r{round}-{n}"), base))).collect();
        cluster.run(Duration::from_secs(2));
        let statuses: Vec<u16> =
            request_ids.iter().map(|request_id| cluster.reply(*request_id).expect("answered").status).collect();
        let count = |wanted| statuses.iter().filter(|status| **status == wanted).count();
        assert_eq!((count(200), count(412)), (1, 7), "{statuses:?}");
    }
}

#[test]
fn a_change_sent_eight_times_at_once_is_applied_once_and_always_acknowledged() {
    let mut cluster = Cluster::founded(3);
    let request_ids: Vec<u64> = (0..8).map(|n| cluster.call(1 + n % 3, change("same", 0))).collect();
    cluster.run(Duration::from_secs(2));
    for request_id in request_ids {
        let reply = cluster.reply(request_id).expect("answered");
        assert_eq!((reply.status, reply.revision), (200, Some(1)));
    }
    assert_eq!(cluster.call_and_wait(2, read_configuration()).revision, Some(1));
}

#[test]
fn a_repeated_change_is_acknowledged_after_hundreds_of_changes_and_a_restart_of_all_registries() {
    let mut cluster = Cluster::founded(3);
    for base in 0..400 {
        assert_eq!(cluster.call_and_wait(1 + base % 3, change(&format!("order-{base}"), base)).status, 200);
    }
    cluster.ids().into_iter().for_each(|id| cluster.kill(id));
    cluster.ids().into_iter().for_each(|id| cluster.start(id));
    cluster.run(Duration::from_secs(5));
    for base in [0, 1, 63, 64, 200, 399] {
        for id in cluster.ids() {
            let reply = cluster.call_and_wait(id, change(&format!("order-{base}"), base));
            assert_eq!((reply.status, reply.revision), (200, Some(base + 1)), "change {base} at {id}");
        }
    }
    assert_eq!(cluster.call_and_wait(3, read_configuration()).revision, Some(400));
}

/// The change reaches the logs of the head and of the next replica; then the head is cut off before the change is
/// committed.
#[test]
fn a_change_that_outlives_its_head_is_applied_once() {
    for position in 0..3 {
        let mut cluster = Cluster::founded(3);
        let chain = cluster.chain();
        cluster.cut_one_way(chain[1], chain[2]);
        let first = cluster.call(chain[position], change("order", 0));
        cut_off(&mut cluster, chain[0]);
        cluster.run(Duration::from_millis(300));
        cluster.heal();
        cut_off(&mut cluster, chain[0]);
        let reply = cluster.call_and_wait(chain[1], change("order", 0));
        assert_eq!((reply.status, reply.revision), (200, Some(1)), "first sent to the registry at {position}");
        cluster.heal();
        cluster.run(Duration::from_secs(12));
        let status = cluster.reply(first).map(|reply| reply.status);
        assert!(status.is_none_or(|status| status == 200 || status >= 500), "{status:?}");
        for id in cluster.ids() {
            assert_eq!(cluster.call_and_wait(id, change("order", 0)).revision, Some(1));
        }
    }
}

/// A registry is cut off for 20 s, restarted meanwhile, connected briefly and cut off again, with changes sent to it
/// throughout.
#[test]
fn a_registry_cut_off_again_on_its_return_refuses_and_confirms_nothing_by_itself() {
    for position in 0..3 {
        let mut cluster = Cluster::founded(3);
        let chain = cluster.chain();
        let (isolated, other) = (chain[position], chain[(position + 1) % 3]);
        let mut revision = 0;
        let mut isolated_calls = Vec::new();
        for turn in 0..2 {
            cut_off(&mut cluster, isolated);
            for second in 0..20 {
                if (turn, second) == (0, 8) {
                    cluster.kill(isolated);
                    cluster.start(isolated);
                }
                isolated_calls.push(cluster.call(isolated, change(&format!("alone-{turn}-{second}"), revision)));
                let reply = cluster.call_and_wait(other, change(&format!("order-{turn}-{second}"), revision));
                assert!(reply.status == 200 || reply.status >= 500, "a valid change got {}", reply.status);
                revision = reply.revision.unwrap_or(revision);
                cluster.run(Duration::from_millis(700));
            }
            for request_id in isolated_calls.drain(..) {
                let status = cluster.reply(request_id).map(|reply| reply.status);
                assert!(status.is_none_or(|status| status >= 500), "the isolated registry answered {status:?}");
            }
            cluster.heal();
            cluster.run(Duration::from_millis(300 + 900 * position as u64));
        }
        assert!(revision >= 30, "{revision} of 40 changes were acknowledged");
    }
}
