//! Feeds a simulated router's front and owner until neither has further inputs, and checks the rule on revisions at
//! each forward and each dispatch.

use crate::router_node::RouterInput;
use crate::world::{NodeRef, World};
use std::collections::VecDeque;
use std::rc::Rc;
use traffic::{FrontInput, FrontOutput, OwnerInput, OwnerOutput};
use wire::{ForwardMessage, LeaseMessage, Message, NodeId, PlanMessage};

impl World {
    pub fn feed_router(&mut self, n: usize, first: RouterInput) {
        let mut inputs = VecDeque::from([first]);
        while let Some(next_input) = inputs.pop_front() {
            let now = self.router_now(n);
            let me = self.routers[n].id;
            let Some(process) = &mut self.routers[n].process else { return };
            let may_serve = now < process.follower.serves_until();
            let revision = process.follower.revision();
            match next_input {
                RouterInput::Front(input) => {
                    for output in process.front.step(now, may_serve, input) {
                        match output {
                            FrontOutput::Reply { request_id, reply } => self.caller_reply(n, request_id, reply),
                            FrontOutput::Forward { to, message } => {
                                if is_serving(&message) {
                                    self.rules.served_by_revision(self.now, revision);
                                }
                                if to == me {
                                    inputs.push_back(RouterInput::forwarded(to, message));
                                } else {
                                    self.send(NodeRef::Router(n), to, Message::Forward(message));
                                }
                            }
                        }
                    }
                }
                RouterInput::FunctionOwner(input) => {
                    let tail = process.follower.tail();
                    for output in process.owner.step(now, may_serve, input) {
                        match output {
                            OwnerOutput::Forward { to, message } if to == me => {
                                inputs.push_back(RouterInput::forwarded(to, message))
                            }
                            OwnerOutput::Forward { to, message } => {
                                self.send(NodeRef::Router(n), to, Message::Forward(message));
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
                                self.rules.served_by_revision(self.now, revision);
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
        let Some(process) = &self.routers[n].process else { return };
        let membership = Rc::new(process.follower.membership().clone());
        self.log(|| {
            let ids: Vec<String> = membership.members.iter().map(|line| format!("{:016x}", line.id)).collect();
            format!("router {n} has membership {} of {}", membership.number, ids.join(" "))
        });
        self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::Membership { membership: membership.clone() }));
        self.feed_router(n, RouterInput::Front(FrontInput::Membership { membership }));
    }

    fn ask_tail(&mut self, n: usize, tail: Option<NodeId>, message: LeaseMessage) {
        if let Some(tail) = tail {
            self.send(NodeRef::Router(n), tail, Message::Lease(message));
        }
    }
}

/// Whether the message uses a configuration, as the forward of a request does.
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
