//! Phases until the next acknowledgement after a registry's machine is lost, by the simulated clock.
//!
//! `HERONLINK_KILLS=10 cargo test --release -p control --test recovery_timeline -- --nocapture` prints the table in
//! docs/measurements.md.

mod simulated_fleet;

use simulated_fleet::Fleet;
use std::time::Duration;
use test_case::test_case;
use wire::NodeId;

/// Number of kills per position in the chain if `HERONLINK_KILLS` is not set.
const DEFAULT_KILLS: u64 = 2;
/// Additional delay of each further kill, so that kills fall at different points of the heartbeat interval.
const OFFSET_MILLIS: u64 = 37;
const BOUND: Duration = Duration::from_secs(2);
/// Default duration of a lease.
const DEFAULT_HOLD: Duration = Duration::from_millis(1500);
/// Duration of a lease in users' deployments.
const DEPLOYED_HOLD: Duration = Duration::from_secs(1);
const TIMEOUT_MILLIS: u64 = 9000;
/// Id of the first router.
const FIRST_ROUTER: NodeId = 1000;

/// Way in which a registry is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The registry is killed.
    Killed,
    /// The registry and the router on the same machine are killed.
    KilledWithRouter,
    /// The registry runs, but exchanges no frames.
    CutOff,
}

/// Time from the loss to the end of each phase.
#[derive(Clone, Copy, Debug, Default)]
struct Timeline {
    suspected: Duration,
    view_decided: Duration,
    accepted: Duration,
    staged: Duration,
    acknowledged: Duration,
}

impl Timeline {
    fn phases(&self) -> [Duration; 5] {
        [self.suspected, self.view_decided, self.accepted, self.staged, self.acknowledged]
    }
}

fn kills() -> u64 {
    std::env::var("HERONLINK_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(DEFAULT_KILLS)
}

fn lose_registry(fleet: &mut Fleet, position: usize, loss: Loss) -> NodeId {
    let lost = fleet.chain()[position];
    match loss {
        Loss::CutOff => _ = fleet.cut_off.insert(lost),
        Loss::Killed | Loss::KilledWithRouter => fleet.kill(lost),
    }
    if loss == Loss::KilledWithRouter {
        fleet.kill(FIRST_ROUTER);
    }
    lost
}

fn measure_timeline(fleet: &mut Fleet, position: usize, loss: Loss) -> Timeline {
    let lost = lose_registry(fleet, position, loss);
    let started = fleet.now;
    let survivor = *fleet.registries.keys().find(|id| **id != lost).unwrap();
    let step_before = control::read_number(fleet.registries[&survivor].state(), "c/latest");
    let request_id = fleet.change(survivor, 2);
    let mut timeline = Timeline::default();
    for _ in 0..TIMEOUT_MILLIS {
        fleet.advance(1);
        let elapsed = fleet.now - started;
        let core = &fleet.registries[&survivor];
        let step = control::read_number(core.state(), "c/latest");
        let reached = |at: &mut Duration, is_reached: bool| {
            if is_reached && at.is_zero() {
                *at = elapsed;
            }
        };
        let is_out = !core.replica().is_in_chain() || !core.replica().view().is_in_chain(lost);
        reached(&mut timeline.suspected, is_out || core.replica().suspects().contains(&lost));
        reached(&mut timeline.view_decided, is_out);
        reached(&mut timeline.accepted, step > step_before);
        let has_staged = fleet.routers.values().all(|router| router.staged_epoch() > step_before);
        reached(&mut timeline.staged, has_staged);
        if let Some((at, reply)) = fleet.replies.get(&request_id) {
            assert_eq!(reply.status, 200);
            timeline.acknowledged = *at - started;
            return timeline;
        }
    }
    panic!("no acknowledgement after the loss of {lost}: {timeline:?}");
}

fn median(mut values: Vec<Duration>) -> Duration {
    values.sort_unstable();
    values[values.len() / 2]
}

#[test_case(3, 8, Loss::Killed; "ten machines, the registry is killed")]
#[test_case(3, 8, Loss::KilledWithRouter; "ten machines, the machine is killed")]
#[test_case(3, 8, Loss::CutOff; "ten machines, the registry is cut off")]
#[test_case(6, 24, Loss::KilledWithRouter; "thirty machines, the machine is killed")]
#[test_case(8, 92, Loss::KilledWithRouter; "a hundred machines, the machine is killed")]
fn the_next_acknowledgement_comes_within_two_seconds(registries: NodeId, routers: usize, loss: Loss) {
    for hold in [DEFAULT_HOLD, DEPLOYED_HOLD] {
        check_losses_at_each_position(registries, routers, loss, hold);
    }
}

fn check_losses_at_each_position(registries: NodeId, routers: usize, loss: Loss, hold: Duration) {
    for (name, position) in [("head", 0), ("middle", 1), ("tail", registries as usize - 1)] {
        let mut runs = Vec::new();
        for kill in 0..kills() {
            let mut fleet = Fleet::start_with_hold(registries, routers, hold);
            fleet.time_to_acknowledgement(1, 1);
            fleet.advance(2500 + kill * OFFSET_MILLIS);
            runs.push(measure_timeline(&mut fleet, position, loss));
        }
        let medians: Vec<String> = (0..5)
            .map(|phase| median(runs.iter().map(|run| run.phases()[phase]).collect()).as_millis().to_string())
            .collect();
        let longest = runs.iter().map(|run| run.acknowledged).max().unwrap();
        let (machines, hold_ms, longest_ms) = (registries as usize + routers, hold.as_millis(), longest.as_millis());
        let phases = medians.join(" | ");
        println!("| {machines} | {loss:?} | {hold_ms} | {name} | {phases} | {longest_ms} |");
        assert!(longest < BOUND, "{name}: {longest:?}");
    }
}
