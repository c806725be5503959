//! Fixed seeds: a few of each sort, and every seed that once violated a rule. A failing seed is printed;
//! `sim run --seed N --sort S` logs its run.

use sim::{Sort, run};
use test_case::test_case;

#[test_case(Sort::Calm, &[1, 2]; "calm")]
#[test_case(Sort::Core, &[1, 2, 3]; "core")]
#[test_case(Sort::Routers, &[1, 2, 3]; "routers")]
#[test_case(Sort::Network, &[1, 2, 3]; "network")]
#[test_case(Sort::Mixed, &[1, 2, 3, 4]; "mixed")]
#[test_case(Sort::Planned, &[1, 2, 3]; "planned")]
#[test_case(Sort::Crowd, &[1, 2, 3]; "crowd")]
#[test_case(Sort::Herd, &[1, 2, 3]; "herd")]
#[test_case(Sort::Grown, &[1, 2]; "grown")]
#[test_case(Sort::Storm, &[1, 2]; "storm")]
#[test_case(Sort::Resets, &[1, 2, 3]; "resets")]
#[test_case(Sort::Operators, &[1, 2]; "operators")]
#[test_case(Sort::Changes, &[1, 11]; "changes")]
#[test_case(Sort::Cutoff, &[26, 27]; "cutoff")]
#[test_case(Sort::Replacement, &[1, 2]; "replacement")]
#[test_case(Sort::Restarts, &[1, 2, 4]; "restarts")]
#[test_case(Sort::Consumers, &[1, 2, 3]; "consumers")]
#[test_case(Sort::Anything, &[25, 26]; "anything")]
#[test_case(Sort::Consumers, &[6100017, 6100187, 6400195]; "a registry not caught up after lossy links")]
#[test_case(Sort::Anything, &[8100161]; "accepted requests made no progress while a step waited for its quorum")]
#[test_case(Sort::Anything, &[1220027]; "routers started after all their seeds had been replaced")]
#[test_case(Sort::Replacement, &[1210020]; "a voter stopped before its successor had its vote")]
#[test_case(Sort::Anything, &[3100032]; "a leaving registry stopped while it was one of two in the chain")]
#[test_case(Sort::Replacement, &[5000035, 5000131]; "an absent voter kept its vote beside its replacement's")]
#[test_case(Sort::Operators, &[5000091]; "an acknowledgement just after another registry had started")]
#[test_case(Sort::Anything, &[5000044]; "rejections when all routers resumed serving at once")]
#[test_case(Sort::Mixed, &[1310081]; "twelve rejections in a burst while routers are cut off")]
#[test_case(Sort::Overload, &[3000046, 3000071, 3000211]; "rejections by a function owner returning within the window")]
#[test_case(Sort::Mixed, &[3000026]; "a task stored after its function had moved away was in no queue")]
#[test_case(Sort::Mixed, &[930050]; "a copy requested from a former tail")]
#[test_case(Sort::Overload, &[7, 21]; "rejections across a crash and in a burst")]
#[test_case(Sort::Mixed, &[13]; "a table with an instance long listed as leaving")]
#[test_case(Sort::Storm, &[4]; "a backlog read back after two crashes")]
#[test_case(Sort::Mixed, &[1117]; "a function owner resumed after a freeze ignored the interim owner")]
#[test_case(Sort::Mixed, &[4]; "a returned claim was dispatched")]
#[test_case(Sort::Planned, &[22]; "a router asked to leave before it had joined")]
#[test_case(Sort::Wake, &[10, 19]; "memory released too slowly to functions without instances")]
#[test_case(Sort::Flood, &[22]; "a tenant's flood kept the other tenants' functions from starting")]
#[test_case(Sort::Routers, &[10, 200, 267]; "answers to another incarnation")]
#[test_case(Sort::Core, &[51, 66]; "change acknowledged from a lost log suffix")]
#[test_case(Sort::Network, &[105, 156]; "change acknowledged from a lost log suffix after a cut")]
#[test_case(Sort::Mixed, &[54, 251, 293]; "a repeated forwarded-request frame was admitted again after its answer")]
#[test_case(Sort::Network, &[240]; "a view proposal accepted by one or two voters was never finished")]
#[test_case(Sort::Overload, &[70027, 90219, 90360]; "rejections counted over a window measured by a fast clock")]
#[test_case(Sort::Mixed, &[70523, 70555]; "a stored copy older than the last rejections")]
#[test_case(Sort::Overload, &[210249]; "a table handed over after a stored copy was ignored")]
#[test_case(Sort::Overload, &[70141]; "stored tasks held through a lease expiry were resent without being counted")]
#[test_case(Sort::Overload, &[90123]; "refused requests were credited to the retry budget")]
#[test_case(Sort::Mixed, &[330149, 330440]; "a backlog with unknown outcomes was handed over as never sent")]
#[test_case(Sort::Flood, &[90094, 90147, 90187, 90192]; "freed memory went to functions other than the waiting ones")]
#[test_case(Sort::Crowd, &[90023, 90043, 90154]; "all functions gave up memory for each other and nothing ran")]
fn seeds_keep_the_rules(sort: Sort, seeds: &[u64]) {
    for seed in seeds {
        let outcome = run(*seed, sort, false);
        println!("seed {seed} {sort:?}: {}", outcome.summary);
        assert!(outcome.violations.is_empty(), "seed {seed} {sort:?}: {:?}", outcome.violations);
    }
}

#[test]
fn the_same_seed_replays_the_same_run() {
    let (one, two) = (run(17, Sort::Mixed, false), run(17, Sort::Mixed, false));
    assert_eq!((one.steps, &one.summary), (two.steps, &two.summary));
    assert_ne!(one.summary, run(18, Sort::Mixed, false).summary);
}
