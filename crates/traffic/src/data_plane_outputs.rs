//! The plane's way out: turns of the two machines until neither has anything more to do, and
//! their outputs forwarded to links, dispatcher, platform and waiting callers.

use crate::data_plane::{DataPlane, Work};
use crate::front_types::{FrontOutput, Reply};
use crate::owner_types::{OwnerInput, OwnerOutput};
use dispatch::{DispatchOutcome, DispatcherMessage};
use events::event;
use links::LinkOrder;
use std::collections::VecDeque;
use wire::{LeaseMessage, Message, PlanMessage};

impl DataPlane {
    pub(crate) fn link(&self, order: LinkOrder) {
        if self.links.send(order).is_err() {
            event!(inbox_full, "links");
        }
    }

    pub(crate) fn to_core(&self, message: LeaseMessage) {
        if let Some(to) = self.tail {
            self.link(LinkOrder::Send { to, message: Message::Lease(message) });
        }
    }

    pub(crate) fn work(&mut self, first: Work) {
        let mut turns = VecDeque::from([first]);
        while let Some(work) = turns.pop_front() {
            let now = self.started_at.elapsed();
            let may_serve = self.pass.holds(now, self.step);
            match work {
                Work::Front(input) => {
                    for output in self.front.step(now, may_serve, input) {
                        match output {
                            FrontOutput::Reply { request_id, reply } => self.reply(request_id, reply),
                            FrontOutput::Forward { to, message } if to == self.me => {
                                turns.push_back(Work::forwarded(to, message));
                            }
                            FrontOutput::Forward { to, message } => {
                                self.link(LinkOrder::Send { to, message: Message::Forward(message) });
                            }
                        }
                    }
                }
                Work::FunctionOwner(input) => {
                    for output in self.owner.step(now, may_serve, input) {
                        if let Some(work) = self.execute(output) {
                            turns.push_back(work);
                        }
                    }
                }
            }
        }
    }

    fn execute(&mut self, output: OwnerOutput) -> Option<Work> {
        match output {
            OwnerOutput::Forward { to, message } if to == self.me => return Some(Work::forwarded(to, message)),
            OwnerOutput::Forward { to, message } => {
                self.link(LinkOrder::Send { to, message: Message::Forward(message) })
            }
            OwnerOutput::Propose { request_id, body } => {
                self.to_core(LeaseMessage::Propose { request_id, body: body.into() })
            }
            OwnerOutput::Read { request_id, prefix } => {
                self.to_core(LeaseMessage::Read { request_id, prefix: prefix.into(), from: "".into() });
            }
            OwnerOutput::Dispatch(order) => {
                let number = order.number;
                if !self.to_dispatcher(DispatcherMessage::Send(order)) {
                    return Some(Work::FunctionOwner(OwnerInput::Dispatched {
                        number,
                        outcome: DispatchOutcome::NoConnection,
                    }));
                }
            }
            OwnerOutput::Probe { id, address, after, limit } => {
                let probe = DispatcherMessage::Probe { id: id.clone(), address, delay: after, timeout: limit };
                if !self.to_dispatcher(probe) {
                    return Some(Work::FunctionOwner(OwnerInput::Probed { id, ready: false }));
                }
            }
            OwnerOutput::ForgetInstance { id } => {
                self.to_dispatcher(DispatcherMessage::Forget { id });
            }
            OwnerOutput::ProviderOrder(order) => {
                if self.platform.send(order).is_err() {
                    event!(inbox_full, "platform");
                }
            }
            OwnerOutput::PlanRequest { message } => self.to_registries(Message::Plan(message)),
            OwnerOutput::Measurements { lines } => {
                self.to_registries(Message::Plan(PlanMessage::Measurements { measurements: lines.into() }));
            }
            OwnerOutput::Samples { lines } => {
                self.to_registries(Message::Plan(PlanMessage::Samples { samples: lines.into() }));
            }
        }
        None
    }

    fn to_dispatcher(&self, message: DispatcherMessage) -> bool {
        let taken = self.dispatcher.send(message).is_ok();
        if !taken {
            event!(inbox_full, "dispatcher");
        }
        taken
    }

    fn to_registries(&self, message: Message) {
        for to in self.registries.clone() {
            self.link(LinkOrder::Send { to, message: message.clone() });
        }
    }

    fn reply(&mut self, request_id: u64, reply: Reply) {
        let word = reply.outcome.map_or("refused", |outcome| outcome.as_str());
        *self.counts.entry(word).or_default() += 1;
        if let Some(waiting) = self.replies.remove(&request_id) {
            let _ = waiting.send(reply);
        }
    }
}
