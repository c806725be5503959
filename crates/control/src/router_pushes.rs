//! What the tail sends member routers of its own accord: the next step each has not staged, that a step
//! is in force, the membership. Nothing is sent again while what was sent before may still be on its way.

use crate::core::{Core, CoreOutput};
use crate::keys;
use leases::Session;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// A part or a membership may take so long over a thin link with others before it.
const PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(700);
const ACTIVATION_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// The first format with packed parts and differences of memberships.
const PARTS: u16 = 4;

impl Core {
    /// The members by incarnation, with the sessions brought in line with them.
    pub(crate) fn align(&mut self) -> Rc<BTreeMap<NodeId, u64>> {
        let state = self.state().clone();
        let members = self.pushes.members(&state);
        if self.pushes.take_alignment(&state, self.now) {
            self.sessions.align(self.now, &members, self.timing.lapse.max(self.timing.peers_over));
        }
        members
    }

    pub(crate) fn push(&mut self) {
        let now = self.now;
        let state = self.state().clone();
        let active = keys::number(&state, keys::ACTIVE);
        let latest = keys::number(&state, keys::LATEST);
        self.align();
        let number = self.pushes.membership_updates.newest(now, &state);
        let mut outs = Vec::new();
        for (id, session) in self.sessions.table.iter_mut().filter(|(_, session)| !session.departed) {
            if let Some(next) = next_step(now, session, active, latest) {
                let step = match self.format {
                    ..PARTS => keys::step(&state, next).map(|step| LeaseMessage::Stage { epoch: step }),
                    _ => self.pushes.packed_steps.part(&state, 0, false, next, 0),
                };
                session.pushed = next;
                session.pushed_at = now;
                outs.extend(step.map(|message| (*id, message)));
            }
            let untold =
                session.activation_sent < active || now >= session.activation_sent_at + ACTIVATION_RETRY_INTERVAL;
            if active > session.active && active <= session.staged && untold {
                session.activation_sent = active;
                session.activation_sent_at = now;
                outs.push((*id, LeaseMessage::Activate { number: active }));
            }
            if number > session.membership
                && (session.membership_sent < number || now >= session.membership_sent_at + PUSH_RETRY_INTERVAL)
            {
                session.membership_sent = number;
                session.membership_sent_at = now;
                let membership = match self.format {
                    ..PARTS => self.pushes.membership_updates.newest_complete(),
                    _ => self.pushes.membership_updates.change(session.membership),
                };
                outs.extend(membership.map(|message| (*id, message)));
            }
        }
        self.outs.extend(outs.into_iter().map(|(to, message)| CoreOutput::Router { to, message }));
    }
}

/// The step to offer a router. One that is behind the active step takes the whole configuration itself.
fn next_step(now: Duration, session: &Session, active: u64, latest: u64) -> Option<u64> {
    let next = session.staged + 1;
    let due = session.pushed < next || now >= session.pushed_at + PUSH_RETRY_INTERVAL;
    (session.staged >= active && next <= latest && due).then_some(next)
}
