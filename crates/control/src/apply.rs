//! The effect of a log entry on the replicated state. The same entry on the same state gives the same
//! changes and the same reply on every replica; nothing here reads a clock, a file or a random number.

use crate::apply_change::{activate, apply_change, apply_declared_change, set_quorum};
use crate::apply_member::{advance_clock, join, mark_leaving, remove_lapsed};
use crate::apply_request::{DEFAULT_KEY_TICKS, claim_key, finish_deferred, record_answer, release_key, store_deferred};
use crate::change_validation::Change;
use crate::keys;
use chain::{Effect, State, Value};
use leases::Member;
use wire::{Capacity, Command, CommandReply};

/// The changes that an entry makes to a state, collected before they are applied.
pub struct Draft<'a> {
    /// The state before the entry.
    pub state: &'a State,
    /// The changes so far.
    pub changes: Vec<chain::Change>,
}

impl Draft<'_> {
    /// Sets a key.
    pub fn put(&mut self, key: impl Into<String>, value: impl Into<Value>) {
        self.changes.push(chain::Change::put(key, value));
    }
    /// Sets a key to a number.
    pub fn put_number(&mut self, key: &str, number: u64) {
        self.put(key, keys::encode_number(number));
    }
    /// Removes a key.
    pub fn remove(&mut self, key: impl Into<String>) {
        self.changes.push(chain::Change::remove(key));
    }
    /// Returns the number under a key, or 0 without one.
    pub fn number(&self, key: &str) -> u64 {
        keys::read_number(self.state, key)
    }
    /// Schedules the removal of a record after a number of ticks.
    pub fn schedule_removal(&mut self, key: &str, ticks: u64) {
        let due = self.number(keys::TICKS) + ticks;
        self.put(format!("x/{due:012}/{key}"), Vec::new());
    }
}

/// Computes the changes and the reply of a log entry.
pub fn apply(state: &State, _seq: u64, body: &[u8]) -> Effect {
    let mut draft = Draft { state, changes: Vec::new() };
    let reply = match wire::from_bytes::<Command>(body) {
        Some(command) => execute(&mut draft, command),
        None => CommandReply::Refused { status: 400, body: b"\"an entry that cannot be read\"".to_vec().into() },
    };
    Effect { changes: draft.changes, reply: wire::to_bytes(&reply) }
}

fn execute(draft: &mut Draft, command: Command) -> CommandReply {
    match command {
        Command::Change { op, base, is_any_base: any, replaces_scope: full, scope, items } => {
            let (base, full, items) = ((any == 0).then_some(base), full != 0, items.as_slice());
            apply_change(draft, op.as_str(), &Change { base, revision: 0, full, scope: scope.as_str(), items })
        }
        Command::Declare { op, base, is_any_base: any, replaces_scope: full, revision, scope, items } => {
            let (base, full, items) = ((any == 0).then_some(base), full != 0, items.as_slice());
            apply_declared_change(draft, op.as_str(), &Change { base, revision, full, scope: scope.as_str(), items })
        }
        Command::SetQuorum { after, members } => set_quorum(draft, after, members.into_vec()),
        Command::Activate { epoch: step } => activate(draft, step),
        Command::Join { id, incarnation, address, zone, ops } => {
            let capacity = Capacity::default();
            join(draft, Member { id, incarnation, address, zone, ops, leaving: 0, hashing: 1, capacity })
        }
        Command::JoinWithCapacity { id, incarnation, address, zone, ops, hashing, capacity } => {
            join(draft, Member { id, incarnation, address, zone, ops, leaving: 0, hashing, capacity })
        }
        Command::ExpireLease { id, incarnation } => remove_lapsed(draft, id, incarnation),
        Command::Leaving { id, incarnation } => mark_leaving(draft, id, incarnation),
        Command::Claim { scope, digest, member, incarnation, request_id } => {
            claim_key(draft, scope.as_str(), digest, (member, incarnation, request_id), DEFAULT_KEY_TICKS)
        }
        Command::ClaimForTicks { scope, digest, member, incarnation, request_id, ticks } => {
            claim_key(draft, scope.as_str(), digest, (member, incarnation, request_id), ticks)
        }
        Command::RecordAnswer { scope, member, incarnation, request_id, answer } => {
            record_answer(draft, scope.as_str(), (member, incarnation, request_id), answer)
        }
        Command::Release { scope, member, incarnation, request_id } => {
            release_key(draft, scope.as_str(), (member, incarnation, request_id))
        }
        Command::Store { id, function, digest, task } => store_deferred(draft, id.as_str(), function, digest, task),
        Command::Finish { id, function, answer } => finish_deferred(draft, id.as_str(), function.as_str(), answer),
        Command::Tick { number } => advance_clock(draft, number),
    }
}
