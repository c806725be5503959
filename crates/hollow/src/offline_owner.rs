//! An owner alone: its tick against open schedulers, and the platform's list against instances.

use crate::line::Order;
use crate::offline::{membership, resident_mb, timed};
use crate::tally::round;
use crate::workload::Workload;
use bindings::RouteTable;
use instance_provider::{Listing, ProviderReport};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::{Duration, Instant};
use traffic::{FunctionOwner, OwnerInput, OwnerTiming};
use wire::{Message, PlanMessage};

const TICK: Duration = Duration::from_millis(10);
const ROUNDS: u32 = 1000;

/// An owner of all the workload's functions, its adoptions ended, its awake functions' instances known.
pub fn open(workload: &Workload, members: usize) -> (FunctionOwner, Duration) {
    let membership = Rc::new(membership(members));
    let mut owner = FunctionOwner::new(membership.members.as_slice()[0].id, 1, OwnerTiming::default());
    let pairs = workload.pairs();
    let routes = Rc::new(RouteTable::build(1, 1, pairs.iter().map(|(key, value)| (key.as_str(), value.as_slice()))));
    owner.step(TICK, true, OwnerInput::Membership { membership });
    owner.step(TICK, true, OwnerInput::RouteTable { routes });
    let mut now = TICK;
    listed(&mut owner, now, workload.listing());
    for _ in 0..200 {
        now += TICK;
        owner.step(now, true, OwnerInput::Tick);
    }
    (owner, now)
}

fn listed(owner: &mut FunctionOwner, now: Duration, listing: Listing) {
    let report = ProviderReport::Listed { listing, asked: Instant::now() };
    owner.step(now, true, OwnerInput::Platform { report, listed_at: now });
}

pub fn passes(order: &Order) -> Value {
    let schedulers = order.functions[0];
    let workload = |awake: usize| Workload { functions: schedulers, awake, instances: awake * 2 };
    let before = resident_mb();
    let (mut asleep, from) = open(&workload(0), 1);
    let held = resident_mb() - before;
    let tick = |owner: &mut FunctionOwner, from: Duration| {
        let begun = Instant::now();
        for round in 1..=ROUNDS {
            owner.step(from + TICK * round, true, OwnerInput::Tick);
        }
        begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
    };
    let all_asleep = tick(&mut asleep, from);
    let (mut awake, from) = open(&workload(schedulers), 1);
    let all_awake = tick(&mut awake, from);
    json!({
        "tick us, all asleep": round(all_asleep), "tick us, all awake": round(all_awake),
        "cores, all asleep": round(all_asleep / TICK.as_micros() as f64),
        "cores, all awake": round(all_awake / TICK.as_micros() as f64), "home asleep MB": round(held),
        "sample bytes a desk": sample_bytes(&mut asleep, from, schedulers),
    })
}

/// The bytes of one round of samples, shared by the schedulers they tell of.
fn sample_bytes(owner: &mut FunctionOwner, from: Duration, schedulers: usize) -> f64 {
    let outputs = owner.step(from + Duration::from_secs(60), true, OwnerInput::Tick);
    let told = outputs.into_iter().find_map(|output| match output {
        traffic::OwnerOutput::Samples { lines } => Some(PlanMessage::Samples { lines: lines.into() }),
        _ => None,
    });
    told.map_or(0.0, |message| round(wire::to_bytes(&Message::Plan(message)).len() as f64 / schedulers as f64))
}

/// One reading of the list by one router of the target: its bytes, its parsing, and its taking in by a
/// owner with the functions of one in 430.
pub fn lists(order: &Order) -> Value {
    let instances = order.instances[0];
    let workload = Workload { functions: 9100, awake: instances.min(9100), instances };
    let page = workload.page();
    let parse = timed(5, || drop(read(&page)));
    let (mut owner, now) = open(&workload, 430);
    let take = timed(5, || listed(&mut owner, now, read(&page)));
    json!({
        "page bytes": page.len(), "read ms": round(parse), "read and take in ms": round(take),
        "cores at one a second": round(take / 1000.0),
    })
}

fn read(page: &[u8]) -> Listing {
    serde_json::from_slice(page).unwrap_or_default()
}
