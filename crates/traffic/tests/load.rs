//! Scaling by current load: instances for a sudden rise are started before the next sample, and are not stopped by a
//! short drop.

mod common;

use common::ME;
use common::provider::{OwnerWithProvider, request, six_workers};
use traffic::{DispatchOutcome, OwnerInput, OwnerOutput};
use wire::PlanMessage;

/// Returns a plan made before the load rose: one instance at every step.
fn plan_of_one(request_id: u64) -> PlanMessage {
    PlanMessage::Reply { request_id, fence: 1, state: 1, step_ms: 1000, desired: vec![1; 4].into() }
}

/// Callers of one owner's function.
struct Callers {
    /// Run time of each request in milliseconds.
    run_ms: u64,
    next: u64,
    /// Running requests: dispatch number and answer time.
    running: Vec<(u64, u64)>,
}

impl Callers {
    fn new(run_ms: u64) -> Callers {
        Callers { run_ms, next: 0, running: Vec::new() }
    }

    fn call(&mut self, owner: &mut OwnerWithProvider) {
        self.next += 1;
        owner.feed(OwnerInput::Forward { from: ME, message: request(self.next, Vec::new()) });
    }
}

/// Advances time by `millis` with `rate` requests per second.
fn run_load(owner: &mut OwnerWithProvider, rate: u64, millis: u64, callers: &mut Callers) {
    for _ in 0..millis / 10 {
        owner.pass(10);
        let at = owner.at;
        for (number, _) in callers.running.extract_if(.., |(_, due)| *due <= at).collect::<Vec<_>>() {
            let outcome = DispatchOutcome::Complete {
                status: 200,
                head: Vec::new(),
                body: Vec::new().into(),
                turned_away: false,
            };
            owner.feed(OwnerInput::Dispatched { number, outcome });
        }
        for _ in 0..rate / 100 {
            callers.call(owner);
        }
        for output in std::mem::take(&mut owner.others) {
            match output {
                OwnerOutput::Dispatch(order) => callers.running.push((order.number, at + callers.run_ms)),
                OwnerOutput::PlanRequest { message: PlanMessage::Request { request_id, .. } } => {
                    owner.feed(OwnerInput::Plan { message: plan_of_one(request_id) })
                }
                _ => {}
            }
        }
        for order in owner.starts.split_off(0) {
            let id = format!("i-{}", order.nonce);
            owner.accepted(&order.nonce, &id);
            owner.probed(&id, true);
        }
    }
}

#[test]
fn load_rise_is_met_within_a_second_and_kept_for_one_start_time() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    let mut callers = Callers::new(100);
    run_load(&mut owner, 0, 200, &mut callers);
    assert_eq!(owner.count("ready"), 1);
    run_load(&mut owner, 200, 1000, &mut callers);
    let ready = owner.count("ready");
    assert!((20..=40).contains(&ready), "200 requests per second of 100 ms each keep 20 instances busy: {ready}");
    run_load(&mut owner, 0, 600, &mut callers);
    let remaining = owner.count("ready");
    assert!(remaining >= 20, "only {remaining} instances remain, though a start takes a second");
    run_load(&mut owner, 0, 6000, &mut callers);
    assert!(owner.count("ready") <= 2, "instances that are not needed are stopped: {}", owner.count("ready"));
}

#[test]
fn a_rare_request_starts_no_second_instance() {
    let mut owner = OwnerWithProvider::new(0, six_workers());
    let mut callers = Callers::new(1500);
    run_load(&mut owner, 0, 3000, &mut callers);
    for _ in 0..3 {
        callers.call(&mut owner);
        run_load(&mut owner, 0, 300, &mut callers);
        assert!(owner.count("ready") <= 1, "{} instances for one request", owner.count("ready"));
        run_load(&mut owner, 0, 2000, &mut callers);
    }
}

#[test]
fn rarely_called_function_scales_to_zero_between_calls_despite_the_plan() {
    let mut owner = OwnerWithProvider::new(0, six_workers());
    let mut callers = Callers::new(100);
    run_load(&mut owner, 0, 10_000, &mut callers);
    callers.call(&mut owner);
    run_load(&mut owner, 0, 600, &mut callers);
    assert_eq!(
        owner.starts.len() + owner.stops.len(),
        0,
        "the helper takes all starts, and the instance is still running"
    );
    run_load(&mut owner, 0, 2500, &mut callers);
    assert_eq!(
        (owner.count("ready"), owner.stops.len()),
        (0, 1),
        "one call in ten seconds does not justify the memory of an idle instance"
    );
    run_load(&mut owner, 100, 3000, &mut callers);
    let busy = owner.count("ready");
    run_load(&mut owner, 0, 1500, &mut callers);
    assert!(
        busy >= 1 && owner.count("ready") >= 1,
        "a function that is called often keeps its instances during a pause"
    );
}
