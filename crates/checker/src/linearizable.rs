//! Checks that a history of operators' changes is linearizable as a compare-and-set register: the configuration
//! has one revision at a time; a change names the revision it builds on and creates another. Changes are
//! identified by their content, so a change that is sent again is the same change in a further invocation.
//!
//! This register allows a direct check instead of a search. Every acknowledged change names its parent, so
//! all changes that took effect form one chain of revisions from the first; the sequence of the chain is the
//! only linearization. It is then compared with real time: no response may come before its effect, and no
//! invocation may follow an effect that it must have preceded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Response to one invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Acknowledged as a new revision.
    Acknowledged {
        /// Revision that the change created.
        revision: u64,
    },
    /// Refused because another revision is current.
    Stale,
    /// Refused because the content of the change is invalid.
    Invalid,
    /// No response that tells whether the change took effect.
    Unknown,
}

/// One request with a change to one registry.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Identity of the change, the same each time it is sent.
    pub change: String,
    /// Revision that the change builds on; `None` for the current one, whichever it is.
    pub base: Option<u64>,
    /// Whether the content of the change is valid.
    pub is_valid: bool,
    /// Time when the request was sent.
    pub sent: Duration,
    /// Time when it was answered, or given up as unknown.
    pub ended: Duration,
    /// Response that was received.
    pub response: Response,
}

/// One read of the configuration.
#[derive(Clone, Debug)]
pub struct Read {
    /// Time when the read was requested.
    pub sent: Duration,
    /// Time when the read was answered.
    pub ended: Duration,
    /// Revision that was read.
    pub revision: u64,
    /// Change that created the content that was read, if it can be identified.
    pub change: Option<String>,
}

/// Behaviour that is impossible for a compare-and-set register.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the comment of each variant explains its fields")]
pub enum Anomaly {
    /// Two changes were acknowledged on top of one revision.
    TwoChangesOnOneBase { base: u64, changes: [String; 2] },
    /// Two changes were acknowledged as one revision.
    RevisionReused { revision: u64, changes: [String; 2] },
    /// One change was acknowledged as two revisions.
    AppliedTwice { change: String, revisions: [u64; 2] },
    /// A change was refused although it had been acknowledged before.
    RefusedAfterAcknowledgement { change: String },
    /// A change was refused as stale though the revision it builds on was current from before it was sent
    /// until after it was refused.
    RefusedThoughBaseCurrent { change: String, base: u64 },
    /// A change with invalid content was acknowledged.
    InvalidAcknowledged { change: String },
    /// A revision was acknowledged that isn't newer than one acknowledged before the change was sent.
    RevisionWentBack { change: String, revision: u64, newer: u64 },
    /// A read returned an older revision than one acknowledged or read before the read began.
    StaleRead { read: u64, known: u64 },
    /// The change read under a revision isn't the one acknowledged as that revision, or was refused.
    LostUpdate { revision: u64, read: String },
}

/// Known effects: acknowledged changes with their first revision, the first change of each revision, and the
/// time of each acknowledgement.
struct Effects<'a> {
    by_change: BTreeMap<&'a str, u64>,
    by_revision: BTreeMap<u64, &'a str>,
    acknowledged: Vec<(Duration, u64)>,
}

/// Returns everything in the history that a compare-and-set register with unknown outcomes could not have done.
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

/// Returns whether the revision was certainly current during the whole invocation: it was acknowledged before,
/// and apart from the change itself no change that could have replaced it was sent before the response.
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
    // The change can have taken effect if one of its invocations was acknowledged or isn't known to be refused.
    if owner.is_some_and(|owner| owner != change) || !was_refused.contains(&false) {
        anomalies.push(Anomaly::LostUpdate { revision: read.revision, read: change.clone() });
    }
}
