//! Property test that no window exceeds its bound under random faults. Failing cases are shrunk to the fewest faults.
//! `PROPTEST_CASES=5000 cargo test --release -p quota --test fleet random_faults` runs more cases.

use crate::common::faults::Fault;
use crate::common::fleet::Fleet;
use crate::common::load::{Surge, consumers};
use proptest::prelude::*;
use quota::{ConsumerLimit, QuotaBounds};
use std::collections::BTreeSet;
use std::time::Duration;

const ROUTERS: usize = 14;
const CONSUMERS: usize = 8;
const END: Duration = Duration::from_secs(14);

#[derive(Clone, Debug)]
enum RandomFault {
    Restart { router: usize, downtime: Duration },
    RestartAll { downtime: Duration },
    Freeze { router: usize, duration: Duration },
    Drop(usize),
    Partition { routers: BTreeSet<usize>, duration: Duration },
    LowerLimit { consumer: usize, fraction: f64 },
}

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    loss: f64,
    longest_delay: Duration,
    membership_spread: Duration,
    burst_s: f64,
    hot: usize,
    factor: f64,
    faults: Vec<(Duration, RandomFault)>,
}

fn ms(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn random_fault() -> impl Strategy<Value = RandomFault> {
    let router = || 0..ROUTERS;
    prop_oneof![
        (router(), ms(100..2500)).prop_map(|(router, downtime)| RandomFault::Restart { router, downtime }),
        ms(300..2500).prop_map(|downtime| RandomFault::RestartAll { downtime }),
        (router(), ms(100..4000)).prop_map(|(router, duration)| RandomFault::Freeze { router, duration }),
        router().prop_map(RandomFault::Drop),
        (prop::collection::btree_set(router(), 1..ROUTERS), ms(200..6000))
            .prop_map(|(routers, duration)| RandomFault::Partition { routers, duration }),
        (0..CONSUMERS, 0.1..0.9).prop_map(|(consumer, fraction)| RandomFault::LowerLimit { consumer, fraction }),
    ]
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let network = (
        prop_oneof![Just(0.0), Just(0.1), Just(0.3)],
        prop_oneof![ms(10..60), ms(60..700), ms(700..2000)],
        ms(10..2500),
    );
    let load = (any::<u64>(), prop_oneof![Just(0.0), Just(0.5)], 0..CONSUMERS, 2.0..30.0);
    let faults = prop::collection::vec((ms(2000..10_000), random_fault()), 0..14);
    (network, load, faults).prop_map(
        |((loss, longest_delay, membership_spread), (seed, burst_s, hot, factor), faults)| Scenario {
            seed,
            loss,
            longest_delay,
            membership_spread,
            burst_s,
            hot,
            factor,
            faults,
        },
    )
}

fn inject(fleet: &mut Fleet, at: Duration, fault: &RandomFault) {
    match fault {
        RandomFault::Restart { router, downtime } => {
            fleet.inject(at, Fault::Kill(*router));
            fleet.inject(at + *downtime, Fault::Start(*router));
        }
        RandomFault::RestartAll { downtime } => {
            (0..ROUTERS).for_each(|router| inject(fleet, at, &RandomFault::Restart { router, downtime: *downtime }));
        }
        RandomFault::Freeze { router, duration } => {
            fleet.inject(at, Fault::Freeze(*router));
            fleet.inject(at + *duration, Fault::Thaw(*router));
        }
        RandomFault::Drop(router) => fleet.inject(at, Fault::Drop(*router)),
        RandomFault::Partition { routers, duration } => {
            fleet.inject(at, Fault::Partition(routers.clone()));
            fleet.inject(at + *duration, Fault::Heal);
        }
        RandomFault::LowerLimit { consumer, fraction } => {
            let before = fleet.consumers[*consumer].limit;
            let limit = ConsumerLimit { rate_per_s: before.rate_per_s * fraction, burst: before.burst * fraction };
            fleet.inject(at, Fault::SetLimit(*consumer, limit));
        }
    }
}

/// Returns the largest fraction of the allowance that a window used, and the largest fraction of a limit that the
/// granters had at one time.
fn run_scenario(scenario: &Scenario) -> (f64, f64) {
    let load = consumers(CONSUMERS, 12.0 * ROUTERS as f64, scenario.burst_s);
    let mut fleet = Fleet::new(scenario.seed, ROUTERS, QuotaBounds::default(), load);
    fleet.network.loss = scenario.loss;
    fleet.network.longest_delay = scenario.longest_delay;
    fleet.membership_spread = scenario.membership_spread;
    let surge = Surge { from: Duration::from_secs(2), to: END, factor: scenario.factor, half_period: Duration::ZERO };
    fleet.consumers[scenario.hot].surges.push(surge);
    scenario.faults.iter().for_each(|(at, fault)| inject(&mut fleet, *at, fault));
    fleet.run(END);
    (fleet.limit_checker.errors(&fleet.consumers).allowance_used, fleet.limit_checker.max_granted_share)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_faults_exceed_no_limit(scenario in scenario()) {
        let (used, granted) = run_scenario(&scenario);
        prop_assert!(used <= 1.0, "{:.0} % of the allowance used", used * 100.0);
        prop_assert!(granted <= 1.0 + 1e-9, "{:.0} % of a limit granted at one time", granted * 100.0);
    }
}
