//! Whether a history of operators' changes is linearizable as a compare-and-set register: the configuration
//! has one revision at a time; an order names the revision it builds on and makes another. Orders are told
//! apart by what they are, so one that is sent again is the same change under a further invocation.
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
    Acknowledged {
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
    pub change: String,
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
    pub change: Option<String>,
}

/// What no compare-and-set register could have done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each variant's own comment names what its fields are")]
pub enum Anomaly {
    /// Two changes were acknowledged on top of one revision.
    TwoChangesOnOneBase { base: u64, changes: [String; 2] },
    /// Two changes were acknowledged as one revision.
    RevisionReused { revision: u64, changes: [String; 2] },
    /// One order was acknowledged as two revisions.
    AppliedTwice { change: String, revisions: [u64; 2] },
    /// An order was refused after it had been acknowledged, or in spite of it.
    RefusedAfterAcknowledgement { change: String },
    /// An order was refused as stale though the revision it builds on was current from before it was sent
    /// until after it was refused.
    RefusedThoughBaseCurrent { change: String, base: u64 },
    /// An order that says something invalid was acknowledged.
    InvalidAcknowledged { change: String },
    /// A revision was acknowledged that isn't newer than one acknowledged before the order was sent.
    RevisionWentBack { change: String, revision: u64, newer: u64 },
    /// A read was older than what had been acknowledged or read before it began.
    StaleRead { read: u64, known: u64 },
    /// What was read under a revision isn't what was acknowledged as that, or was refused.
    LostUpdate { revision: u64, read: String },
}

/// The effects that are known: each order that was acknowledged, its revision, and the time it was first.
struct Effects<'a> {
    by_change: BTreeMap<&'a str, u64>,
    by_revision: BTreeMap<u64, &'a str>,
    acknowledged: Vec<(Duration, u64)>,
}

/// Everything in the history that a compare-and-set register with unknown outcomes could not have done.
pub fn find_anomalies(invocations: &[Invocation], reads: &[Read]) -> Vec<Anomaly> {
    let mut anomalies = Vec::new();
    let effects = collect_effects(invocations, &mut anomalies);
    check_single_successors(invocations, &mut anomalies);
    check_refusals(invocations, &effects, &mut anomalies);
    check_real_time(invocations, &effects, &mut anomalies);
    for read in reads {
        check_read(read, reads, invocations, &effects, &mut anomalies);
    }
    anomalies
}

fn acknowledged_revision(invocation: &Invocation) -> Option<u64> {
    match invocation.response {
        Response::Acknowledged { revision } => Some(revision),
        _ => None,
    }
}

fn collect_effects<'a>(invocations: &'a [Invocation], anomalies: &mut Vec<Anomaly>) -> Effects<'a> {
    let mut effects = Effects { by_change: BTreeMap::new(), by_revision: BTreeMap::new(), acknowledged: Vec::new() };
    for invocation in invocations {
        let Some(revision) = acknowledged_revision(invocation) else { continue };
        let change = invocation.change.as_str();
        effects.acknowledged.push((invocation.ended, revision));
        if !invocation.is_valid {
            anomalies.push(Anomaly::InvalidAcknowledged { change: change.to_owned() });
        }
        let first = *effects.by_change.entry(change).or_insert(revision);
        if first != revision {
            anomalies.push(Anomaly::AppliedTwice { change: change.to_owned(), revisions: [first, revision] });
        }
        let owner = *effects.by_revision.entry(revision).or_insert(change);
        if owner != change {
            let changes = [owner.to_owned(), change.to_owned()];
            anomalies.push(Anomaly::RevisionReused { revision, changes });
        }
    }
    effects
}

fn check_single_successors(invocations: &[Invocation], anomalies: &mut Vec<Anomaly>) {
    let mut by_base: BTreeMap<u64, &str> = BTreeMap::new();
    for invocation in invocations.iter().filter(|invocation| acknowledged_revision(invocation).is_some()) {
        let Some(base) = invocation.base else { continue };
        let winner = *by_base.entry(base).or_insert(&invocation.change);
        if winner != invocation.change {
            anomalies
                .push(Anomaly::TwoChangesOnOneBase { base, changes: [winner.to_owned(), invocation.change.clone()] });
        }
    }
}

fn check_refusals(invocations: &[Invocation], effects: &Effects, anomalies: &mut Vec<Anomaly>) {
    for refused in invocations.iter().filter(|i| matches!(i.response, Response::Stale | Response::Invalid)) {
        let before = |other: &&Invocation| {
            other.change == refused.change && acknowledged_revision(other).is_some() && other.ended <= refused.sent
        };
        if invocations.iter().any(|other| before(&other)) {
            anomalies.push(Anomaly::RefusedAfterAcknowledgement { change: refused.change.clone() });
        }
        let Some(base) = refused.base.filter(|_| refused.response == Response::Stale) else { continue };
        if was_current_throughout(base, refused, invocations, effects) {
            anomalies.push(Anomaly::RefusedThoughBaseCurrent { change: refused.change.clone(), base });
        }
    }
}

/// Whether the revision was surely current during the whole of an invocation: it was known before, and
/// nothing that could have followed it was sent by then, but for the change itself.
fn was_current_throughout(base: u64, refused: &Invocation, invocations: &[Invocation], effects: &Effects) -> bool {
    let known = effects.acknowledged.iter().any(|(at, revision)| *revision == base && *at <= refused.sent);
    let may_follow = |other: &Invocation| {
        other.change != refused.change
            && other.is_valid
            && other.sent <= refused.ended
            && other.base.is_none_or(|on| on >= base)
            && effects.by_change.get(other.change.as_str()).is_none_or(|revision| *revision > base)
    };
    known && !invocations.iter().any(may_follow)
}

fn check_real_time(invocations: &[Invocation], effects: &Effects, anomalies: &mut Vec<Anomaly>) {
    for (change, revision) in &effects.by_change {
        let first = invocations.iter().filter(|i| i.change == *change).map(|i| i.sent).min().unwrap_or_default();
        let newer = effects.acknowledged.iter().filter(|(at, other)| *at < first && *other >= *revision);
        if let Some((_, newer)) = newer.max() {
            anomalies.push(Anomaly::RevisionWentBack {
                change: (*change).to_owned(),
                revision: *revision,
                newer: *newer,
            });
        }
    }
}

fn check_read(
    read: &Read,
    reads: &[Read],
    invocations: &[Invocation],
    effects: &Effects,
    anomalies: &mut Vec<Anomaly>,
) {
    let acknowledged = effects.acknowledged.iter().filter(|(at, _)| *at < read.sent).map(|(_, revision)| *revision);
    let seen = reads.iter().filter(|other| other.ended < read.sent).map(|other| other.revision);
    if let Some(known) = acknowledged.chain(seen).max().filter(|known| read.revision < *known) {
        anomalies.push(Anomaly::StaleRead { read: read.revision, known });
    }
    let Some(change) = &read.change else { return };
    let owner = effects.by_revision.get(&read.revision);
    let was_refused: BTreeSet<bool> = invocations
        .iter()
        .filter(|invocation| invocation.change == *change)
        .map(|invocation| matches!(invocation.response, Response::Stale | Response::Invalid))
        .collect();
    // It can have taken effect if one of its sendings was acknowledged or isn't known to be refused.
    if owner.is_some_and(|owner| owner != change) || !was_refused.contains(&false) {
        anomalies.push(Anomaly::LostUpdate { revision: read.revision, read: change.clone() });
    }
}
