//! Whether a history of operators' orders is linearizable as a compare-and-set register: the configuration
//! has one revision at a time; an order names the revision it builds on and makes another. Orders are told
//! apart by what they are, so one that is sent again is the same order under a further invocation.
//!
//! The register admits a direct check instead of a search. Every order that was taken names its parent, so
//! all that took effect form one chain of revisions from the first; the order of the chain is the only
//! linearization. It is then held against real time: no response may come before its effect, and no
//! invocation may follow an effect that it must have preceded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What one invocation was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Acknowledged under this revision.
    Taken {
        /// What became current by it.
        revision: u64,
    },
    /// Refused because another revision is current.
    Stale,
    /// Refused for what it says.
    Invalid,
    /// Nothing that tells what became of it.
    Unknown,
}

/// One sending of an order to one registry.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// What tells one order from another, the same each time it is sent.
    pub order: String,
    /// The revision it builds on, or none for whatever is current.
    pub base: Option<u64>,
    /// Whether what it says may be taken at all.
    pub is_valid: bool,
    /// When it was sent.
    pub sent: Duration,
    /// When it was answered, or given up as unknown.
    pub ended: Duration,
    /// What came back.
    pub response: Response,
}

/// One read of the configuration.
#[derive(Clone, Debug)]
pub struct Read {
    /// When it was asked for.
    pub sent: Duration,
    /// When it was answered.
    pub ended: Duration,
    /// The revision that was read.
    pub revision: u64,
    /// The order that made what was read, where that can be told.
    pub order: Option<String>,
}

/// What no compare-and-set register could have done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each variant's own comment names what its fields are")]
pub enum Anomaly {
    /// Two orders were acknowledged on top of one revision.
    TwoWinners { base: u64, orders: [String; 2] },
    /// Two orders were acknowledged as one revision.
    OneRevisionTwice { revision: u64, orders: [String; 2] },
    /// One order was acknowledged as two revisions.
    AppliedTwice { order: String, revisions: [u64; 2] },
    /// An order was refused after it had been acknowledged, or in spite of it.
    RefusedThoughTaken { order: String },
    /// An order was refused as stale though the revision it builds on was current from before it was sent
    /// until after it was refused.
    RefusedThoughCurrent { order: String, base: u64 },
    /// An order that says something invalid was acknowledged.
    InvalidTaken { order: String },
    /// A revision was acknowledged that isn't newer than one acknowledged before the order was sent.
    WentBack { order: String, revision: u64, newer: u64 },
    /// A read was older than what had been acknowledged or read before it began.
    StaleRead { read: u64, known: u64 },
    /// What was read under a revision isn't what was acknowledged as that, or was refused.
    LostUpdate { revision: u64, read: String },
}

/// The effects that are known: each order that was acknowledged, its revision, and the time it was first.
struct Effects<'a> {
    by_order: BTreeMap<&'a str, u64>,
    by_revision: BTreeMap<u64, &'a str>,
    acknowledged: Vec<(Duration, u64)>,
}

/// Everything in the history that a compare-and-set register with unknown outcomes could not have done.
pub fn anomalies(invocations: &[Invocation], reads: &[Read]) -> Vec<Anomaly> {
    let mut found = Vec::new();
    let effects = effects(invocations, &mut found);
    winners(invocations, &mut found);
    refusals(invocations, &effects, &mut found);
    real_time(invocations, &effects, &mut found);
    for read in reads {
        check_read(read, reads, invocations, &effects, &mut found);
    }
    found
}

fn taken(invocation: &Invocation) -> Option<u64> {
    match invocation.response {
        Response::Taken { revision } => Some(revision),
        _ => None,
    }
}

fn effects<'a>(invocations: &'a [Invocation], found: &mut Vec<Anomaly>) -> Effects<'a> {
    let mut effects = Effects { by_order: BTreeMap::new(), by_revision: BTreeMap::new(), acknowledged: Vec::new() };
    for invocation in invocations {
        let Some(revision) = taken(invocation) else { continue };
        let order = invocation.order.as_str();
        effects.acknowledged.push((invocation.ended, revision));
        if !invocation.is_valid {
            found.push(Anomaly::InvalidTaken { order: order.to_owned() });
        }
        let first = *effects.by_order.entry(order).or_insert(revision);
        if first != revision {
            found.push(Anomaly::AppliedTwice { order: order.to_owned(), revisions: [first, revision] });
        }
        let owner = *effects.by_revision.entry(revision).or_insert(order);
        if owner != order {
            let orders = [owner.to_owned(), order.to_owned()];
            found.push(Anomaly::OneRevisionTwice { revision, orders });
        }
    }
    effects
}

fn winners(invocations: &[Invocation], found: &mut Vec<Anomaly>) {
    let mut by_base: BTreeMap<u64, &str> = BTreeMap::new();
    for invocation in invocations.iter().filter(|invocation| taken(invocation).is_some()) {
        let Some(base) = invocation.base else { continue };
        let winner = *by_base.entry(base).or_insert(&invocation.order);
        if winner != invocation.order {
            found.push(Anomaly::TwoWinners { base, orders: [winner.to_owned(), invocation.order.clone()] });
        }
    }
}

fn refusals(invocations: &[Invocation], effects: &Effects, found: &mut Vec<Anomaly>) {
    for refused in invocations.iter().filter(|i| matches!(i.response, Response::Stale | Response::Invalid)) {
        let before =
            |other: &&Invocation| other.order == refused.order && taken(other).is_some() && other.ended <= refused.sent;
        if invocations.iter().any(|other| before(&other)) {
            found.push(Anomaly::RefusedThoughTaken { order: refused.order.clone() });
        }
        let Some(base) = refused.base.filter(|_| refused.response == Response::Stale) else { continue };
        if was_current_throughout(base, refused, invocations, effects) {
            found.push(Anomaly::RefusedThoughCurrent { order: refused.order.clone(), base });
        }
    }
}

/// Whether the revision was surely current during the whole of an invocation: it was known before, and
/// nothing that could have followed it was sent by then, but for the order itself.
fn was_current_throughout(base: u64, refused: &Invocation, invocations: &[Invocation], effects: &Effects) -> bool {
    let known = effects.acknowledged.iter().any(|(at, revision)| *revision == base && *at <= refused.sent);
    let may_follow = |other: &Invocation| {
        other.order != refused.order
            && other.is_valid
            && other.sent <= refused.ended
            && other.base.is_none_or(|on| on >= base)
            && effects.by_order.get(other.order.as_str()).is_none_or(|revision| *revision > base)
    };
    known && !invocations.iter().any(may_follow)
}

fn real_time(invocations: &[Invocation], effects: &Effects, found: &mut Vec<Anomaly>) {
    for (order, revision) in &effects.by_order {
        let first = invocations.iter().filter(|i| i.order == *order).map(|i| i.sent).min().unwrap_or_default();
        let newer = effects.acknowledged.iter().filter(|(at, other)| *at < first && *other >= *revision);
        if let Some((_, newer)) = newer.max() {
            found.push(Anomaly::WentBack { order: (*order).to_owned(), revision: *revision, newer: *newer });
        }
    }
}

fn check_read(read: &Read, reads: &[Read], invocations: &[Invocation], effects: &Effects, found: &mut Vec<Anomaly>) {
    let acknowledged = effects.acknowledged.iter().filter(|(at, _)| *at < read.sent).map(|(_, revision)| *revision);
    let seen = reads.iter().filter(|other| other.ended < read.sent).map(|other| other.revision);
    if let Some(known) = acknowledged.chain(seen).max().filter(|known| read.revision < *known) {
        found.push(Anomaly::StaleRead { read: read.revision, known });
    }
    let Some(order) = &read.order else { return };
    let owner = effects.by_revision.get(&read.revision);
    let sendings: BTreeSet<bool> = invocations
        .iter()
        .filter(|invocation| invocation.order == *order)
        .map(|invocation| matches!(invocation.response, Response::Stale | Response::Invalid))
        .collect();
    // It can have taken effect if one of its sendings was acknowledged or isn't known to be refused.
    if owner.is_some_and(|owner| owner != order) || !sendings.contains(&false) {
        found.push(Anomaly::LostUpdate { revision: read.revision, read: order.clone() });
    }
}
