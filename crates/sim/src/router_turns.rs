//! Turns of a simulated router's front and owner until neither has anything more to do, with the
//! rule on revisions checked at each forward and each dispatch.

use crate::router_node::Turn;
use crate::world::{Place, World};
use std::collections::VecDeque;
use std::rc::Rc;
use traffic::{FrontInput, FrontOutput, OwnerInput, OwnerOutput};
use wire::{ForwardMessage, LeaseMessage, Message, NodeId, PlanMessage};

impl World {
    pub fn turn(&mut self, n: usize, first: Turn) {
        let mut turns = VecDeque::from([first]);
        while let Some(turn) = turns.pop_front() {
            let now = self.router_now(n);
            let me = self.routers[n].id;
            let Some(machines) = &mut self.routers[n].machines else { return };
            let may_serve = now < machines.follower.serves_until();
            let revision = machines.follower.revision();
            match turn {
                Turn::Front(input) => {
                    for output in machines.front.step(now, may_serve, input) {
                        match output {
                            FrontOutput::Reply { request_id, reply } => self.caller_reply(n, request_id, reply),
                            FrontOutput::Forward { to, message } => {
                                if is_serving(&message) {
                                    self.rules.served(self.now, revision);
                                }
                                if to == me {
                                    turns.push_back(Turn::forwarded(to, message));
                                } else {
                                    self.send(Place::Router(n), to, Message::Forward(message));
                                }
                            }
                        }
                    }
                }
                Turn::FunctionOwner(input) => {
                    let tail = machines.follower.tail();
                    for output in machines.owner.step(now, may_serve, input) {
                        match output {
                            OwnerOutput::Forward { to, message } if to == me => {
                                turns.push_back(Turn::forwarded(to, message))
                            }
                            OwnerOutput::Forward { to, message } => {
                                self.send(Place::Router(n), to, Message::Forward(message));
                            }
                            OwnerOutput::Propose { request_id, body } => {
                                let message = LeaseMessage::Propose { request_id, body: body.into() };
                                self.ask_tail(n, tail, message);
                            }
                            OwnerOutput::Read { request_id, prefix } => {
                                let message = LeaseMessage::Read { request_id, prefix: prefix.into(), from: "".into() };
                                self.ask_tail(n, tail, message);
                            }
                            OwnerOutput::Dispatch(order) => {
                                self.rules.served(self.now, revision);
                                self.dispatch(n, order);
                            }
                            OwnerOutput::ProviderOrder(order) => self.platform_order(n, order),
                            OwnerOutput::Probe { id, after, limit, .. } => self.probe(n, id, after, limit),
                            OwnerOutput::ForgetInstance { .. } => {}
                            OwnerOutput::PlanRequest { message } => self.ask_registries(n, message),
                            OwnerOutput::Measurements { lines } => {
                                self.ask_registries(n, PlanMessage::Measurements { measurements: lines.into() });
                            }
                            OwnerOutput::Samples { lines } => {
                                self.ask_registries(n, PlanMessage::Samples { samples: lines.into() });
                            }
                        }
                    }
                }
            }
        }
    }

    pub fn membership_updated(&mut self, n: usize) {
        let Some(machines) = &self.routers[n].machines else { return };
        let membership = Rc::new(machines.follower.membership().clone());
        self.say(|| {
            let ids: Vec<String> = membership.members.iter().map(|line| format!("{:016x}", line.id)).collect();
            format!("router {n} has membership {} of {}", membership.number, ids.join(" "))
        });
        self.turn(n, Turn::FunctionOwner(OwnerInput::Membership { membership: membership.clone() }));
        self.turn(n, Turn::Front(FrontInput::Membership { membership }));
    }

    fn ask_tail(&mut self, n: usize, tail: Option<NodeId>, message: LeaseMessage) {
        if let Some(tail) = tail {
            self.send(Place::Router(n), tail, Message::Lease(message));
        }
    }
}

/// Whether the message puts a configuration to use, as the forward of a request does.
fn is_serving(message: &ForwardMessage) -> bool {
    use ForwardMessage::{AttemptGrant, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaRequest};
    !matches!(
        message,
        AttemptGrant { .. }
            | QuotaRequest { .. }
            | QuotaGrant { .. }
            | QuotaGrantersQuery { .. }
            | QuotaGrantersReply { .. }
    )
}
