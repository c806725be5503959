//! A registry's status as JSON, for status calls and for the live stream.

use crate::core::Core;
use crate::keys;
use chain::Positions;
use serde_json::{Value, json};

impl Core {
    /// Returns what a planned stop of this registry waits for, and for how much longer.
    fn departure_status(&self) -> Option<Value> {
        let deadline = self.replica.departure_deadline()?;
        let remaining_ms = deadline.saturating_sub(self.now).as_millis() as u64;
        let wait = self.replica.departure_wait().map(chain::DepartureWait::name);
        Some(json!({"waits_for": wait, "remaining_ms": remaining_ms}))
    }

    /// Returns the status.
    pub fn status(&self) -> Value {
        let view = self.replica.view();
        let Positions { last, synced, committed } = self.replica.positions();
        let state = self.state();
        let hex = |id: u64| format!("{id:016x}");
        let members: Vec<Value> = keys::members(state)
            .iter()
            .map(|member| {
                let session = self.sessions.by_router.get(&member.id);
                json!({
                    "id": hex(member.id), "address": member.address.as_str(), "zone": member.zone.as_str(),
                    "ops": member.ops.as_str(), "leaving": member.leaving != 0,
                    "staged": session.map(|session| session.staged), "active": session.map(|session| session.active),
                })
            })
            .collect();
        json!({
            "program": "registry",
            "id": hex(self.id()),
            "view": {
                "number": view.number,
                "chain": view.chain.iter().map(|id| hex(*id)).collect::<Vec<_>>(),
                "voters": view.voters.iter().map(|s| json!({"id": hex(s.id), "address": s.address.as_str()})).collect::<Vec<_>>(),
                "fresh": (view.learner != 0).then(|| hex(view.learner)),
                "optimizer": hex(view.optimizer),
                "suspects": self.replica.suspects().into_iter().map(hex).collect::<Vec<_>>(),
            },
            "role": if self.replica.is_head() { "head" } else if self.replica.is_tail() { "tail" }
                else if self.replica.is_in_chain() { "middle" } else { "out" },
            "current_tail": self.tail.is_held(),
            "positions": {"last": last, "synced": synced, "committed": committed},
            "revision": {
                "active": keys::read_number(state, keys::ACTIVE_REVISION), "latest": keys::read_number(state, keys::LATEST_REVISION),
                "active_step": keys::read_number(state, keys::ACTIVE), "latest_step": keys::read_number(state, keys::LATEST),
            },
            "leaving": self.departure_status(),
            "pending": self.pending_activation.as_ref().map(|pending| pending.status(self.now)),
            "roster": keys::read_number(state, keys::MEMBERSHIP),
            "ticks": keys::read_number(state, keys::TICKS),
            "invalid_changes": self.invalid_changes,
            "claims": keys::read_number(state, keys::CLAIM_COUNT),
            "deferred": keys::read_number(state, keys::DEFERRED_COUNT),
            "members": members,
            "waits": self.proposals.len(), "jobs": self.requests.len(),
        })
    }
}
