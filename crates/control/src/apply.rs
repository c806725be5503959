//! What an entry does to the state. The same entry on the same state gives the same changes and
//! the same reply on every member; nothing here reads a clock, a file or a random number.

use crate::apply_change::{activate, change, declare, quorum};
use crate::apply_member::{join, lapse, leaving, tick};
use crate::apply_task::{DEFAULT_KEY_TICKS, claim, finish, record_answer, release, store};
use crate::change_validation::Change;
use crate::keys;
use chain::{Effect, State, Value};
use leases::Member;
use wire::{Capacity, Command, CommandReply};

pub struct Draft<'a> {
    pub state: &'a State,
    pub changes: Vec<chain::Change>,
}

impl Draft<'_> {
    pub fn put(&mut self, key: impl Into<String>, value: impl Into<Value>) {
        self.changes.push(chain::Change::put(key, value));
    }
    pub fn put_number(&mut self, key: &str, number: u64) {
        self.put(key, keys::value(number));
    }
    pub fn drop(&mut self, key: impl Into<String>) {
        self.changes.push(chain::Change::remove(key));
    }
    pub fn number(&self, key: &str) -> u64 {
        keys::number(self.state, key)
    }
    /// Marks a record to be forgotten so many ticks from now.
    pub fn expire(&mut self, key: &str, ticks: u64) {
        let due = self.number(keys::TICKS) + ticks;
        self.put(format!("x/{due:012}/{key}"), Vec::new());
    }
}

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
            change(draft, op.as_str(), &Change { base, revision: 0, full, scope: scope.as_str(), items })
        }
        Command::Declare { op, base, is_any_base: any, replaces_scope: full, revision, scope, items } => {
            let (base, full, items) = ((any == 0).then_some(base), full != 0, items.as_slice());
            declare(draft, op.as_str(), &Change { base, revision, full, scope: scope.as_str(), items })
        }
        Command::SetQuorum { after, members } => quorum(draft, after, members.into_vec()),
        Command::Activate { epoch: step } => activate(draft, step),
        Command::Join { id, incarnation, address, zone, ops } => {
            let capacity = Capacity::default();
            join(draft, Member { id, incarnation, address, zone, ops, leaving: 0, hashing: 1, capacity })
        }
        Command::JoinWithCapacity { id, incarnation, address, zone, ops, hashing, capacity } => {
            join(draft, Member { id, incarnation, address, zone, ops, leaving: 0, hashing, capacity })
        }
        Command::ExpireLease { id, incarnation } => lapse(draft, id, incarnation),
        Command::Leaving { id, incarnation } => leaving(draft, id, incarnation),
        Command::Claim { scope, digest, member, incarnation, request_id } => {
            claim(draft, scope.as_str(), digest, (member, incarnation, request_id), DEFAULT_KEY_TICKS)
        }
        Command::ClaimForTicks { scope, digest, member, incarnation, request_id, ticks } => {
            claim(draft, scope.as_str(), digest, (member, incarnation, request_id), ticks)
        }
        Command::RecordAnswer { scope, member, incarnation, request_id, answer } => {
            record_answer(draft, scope.as_str(), (member, incarnation, request_id), answer)
        }
        Command::Release { scope, member, incarnation, request_id } => {
            release(draft, scope.as_str(), (member, incarnation, request_id))
        }
        Command::Store { id, function, digest, task } => store(draft, id.as_str(), function, digest, task),
        Command::Finish { id, function, answer } => finish(draft, id.as_str(), function.as_str(), answer),
        Command::Tick { number } => tick(draft, number),
    }
}
