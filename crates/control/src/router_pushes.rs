//! Messages that the tail sends to member routers unasked: the next epoch that a router has not staged, activations,
//! and the membership. A message is sent again only when the previous copy can no longer be in flight.

use crate::core::{Core, CoreOutput};
use crate::keys;
use leases::Session;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// Time after which a part or a membership is sent again. It may take this long over a slow link with other messages
/// queued before it.
const PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Time after which an activation is sent again.
const ACTIVATION_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// First format with compressed parts and membership differences.
const PARTS_FORMAT: u16 = 4;

impl Core {
    /// Aligns the sessions with the members, and returns the members' incarnations by id.
    pub(crate) fn align_sessions(&mut self) -> Rc<BTreeMap<NodeId, u64>> {
        let state = self.state().clone();
        let members = self.pushes.members(&state);
        if self.pushes.take_alignment(&state, self.now) {
            self.sessions.update_members(
                self.now,
                &members,
                self.timing.lease_lapse.max(self.timing.peer_proof_expiry),
            );
        }
        members
    }

    /// Sends each member router what it lacks.
    pub(crate) fn push_updates(&mut self) {
        let now = self.now;
        let state = self.state().clone();
        let active = keys::read_number(&state, keys::ACTIVE);
        let latest = keys::read_number(&state, keys::LATEST);
        self.align_sessions();
        let newest_membership = self.pushes.membership_updates.newest_due(now, &state);
        let mut messages = Vec::new();
        for (id, session) in self.sessions.by_router.iter_mut().filter(|(_, session)| !session.has_departed) {
            if let Some(next) = next_epoch(now, session, active, latest) {
                let message = match self.format {
                    ..PARTS_FORMAT => keys::epoch(&state, next).map(|step| LeaseMessage::Stage { epoch: step }),
                    _ => self.pushes.packed_epochs.part_message(&state, 0, false, next, 0),
                };
                session.epoch_sent = next;
                session.epoch_sent_at = now;
                messages.extend(message.map(|message| (*id, message)));
            }
            let is_activation_due =
                session.activation_sent < active || now >= session.activation_sent_at + ACTIVATION_RETRY_INTERVAL;
            if active > session.active && active <= session.staged && is_activation_due {
                session.activation_sent = active;
                session.activation_sent_at = now;
                messages.push((*id, LeaseMessage::Activate { number: active }));
            }
            if newest_membership > session.membership
                && (session.membership_sent < newest_membership
                    || now >= session.membership_sent_at + PUSH_RETRY_INTERVAL)
            {
                session.membership_sent = newest_membership;
                session.membership_sent_at = now;
                let message = match self.format {
                    ..PARTS_FORMAT => self.pushes.membership_updates.newest_complete(),
                    _ => self.pushes.membership_updates.change_since(session.membership),
                };
                messages.extend(message.map(|message| (*id, message)));
            }
        }
        self.outputs.extend(messages.into_iter().map(|(to, message)| CoreOutput::Router { to, message }));
    }
}

/// Returns the epoch to send to a router, if any. A router that is behind the active epoch fetches the whole
/// configuration by itself.
fn next_epoch(now: Duration, session: &Session, active: u64, latest: u64) -> Option<u64> {
    let next = session.staged + 1;
    let is_due = session.epoch_sent < next || now >= session.epoch_sent_at + PUSH_RETRY_INTERVAL;
    (session.staged >= active && next <= latest && is_due).then_some(next)
}
