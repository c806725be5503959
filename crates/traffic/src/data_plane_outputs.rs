//! Steps of the front and the function owner until neither has input left, and delivery of their outputs to links,
//! dispatcher, platform and waiting callers.

use crate::data_plane::{DataPlane, Input};
use crate::front_types::{FrontOutput, Reply};
use crate::owner_types::{OwnerInput, OwnerOutput};
use crate::rejected_messages::log_rejected_message;
use dispatch::{DispatchOutcome, DispatcherMessage};
use links::LinkOrder;
use std::collections::VecDeque;
use wire::{LeaseMessage, Message, PlanMessage};

impl DataPlane {
    pub(crate) fn send_link_order(&self, order: LinkOrder) {
        if let Err(error) = self.links.send(order) {
            log_rejected_message(&error, "links");
        }
    }

    pub(crate) fn send_to_tail(&self, message: LeaseMessage) {
        if let Some(to) = self.tail {
            self.send_link_order(LinkOrder::Send { to, message: Message::Lease(message) });
        }
    }

    pub(crate) fn process(&mut self, first: Input) {
        let mut inputs = VecDeque::from([first]);
        while let Some(input) = inputs.pop_front() {
            let now = self.started_at.elapsed();
            let may_serve = self.lease.is_valid(now, self.epoch);
            match input {
                Input::Front(input) => {
                    for output in self.front.step(now, may_serve, input) {
                        match output {
                            FrontOutput::Reply { request_id, reply } => self.reply(request_id, reply),
                            FrontOutput::Forward { to, message } if to == self.me => {
                                inputs.push_back(Input::forwarded(to, message));
                            }
                            FrontOutput::Forward { to, message } => {
                                self.send_link_order(LinkOrder::Send { to, message: Message::Forward(message) });
                            }
                        }
                    }
                }
                Input::FunctionOwner(input) => {
                    for output in self.owner.step(now, may_serve, input) {
                        if let Some(input) = self.execute(output) {
                            inputs.push_back(input);
                        }
                    }
                }
            }
        }
    }

    fn execute(&mut self, output: OwnerOutput) -> Option<Input> {
        match output {
            OwnerOutput::Forward { to, message } if to == self.me => return Some(Input::forwarded(to, message)),
            OwnerOutput::Forward { to, message } => {
                self.send_link_order(LinkOrder::Send { to, message: Message::Forward(message) })
            }
            OwnerOutput::Propose { request_id, body } => {
                self.send_to_tail(LeaseMessage::Propose { request_id, body: body.into() })
            }
            OwnerOutput::Read { request_id, prefix } => {
                self.send_to_tail(LeaseMessage::Read { request_id, prefix: prefix.into(), from: "".into() });
            }
            OwnerOutput::Dispatch(order) => {
                let number = order.number;
                if !self.send_to_dispatcher(DispatcherMessage::Send(order)) {
                    return Some(Input::FunctionOwner(OwnerInput::Dispatched {
                        number,
                        outcome: DispatchOutcome::NoConnection,
                    }));
                }
            }
            OwnerOutput::Probe { id, address, after, limit } => {
                let probe = DispatcherMessage::Probe { id: id.clone(), address, delay: after, timeout: limit };
                if !self.send_to_dispatcher(probe) {
                    return Some(Input::FunctionOwner(OwnerInput::Probed { id, ready: false }));
                }
            }
            OwnerOutput::ForgetInstance { id } => {
                self.send_to_dispatcher(DispatcherMessage::Forget { id });
            }
            OwnerOutput::ProviderOrder(order) => {
                if let Err(error) = self.platform.send(order) {
                    log_rejected_message(&error, "platform");
                }
            }
            OwnerOutput::PlanRequest { message } => self.send_to_registries(Message::Plan(message)),
            OwnerOutput::Measurements { lines } => {
                self.send_to_registries(Message::Plan(PlanMessage::Measurements { measurements: lines.into() }));
            }
            OwnerOutput::Samples { lines } => {
                self.send_to_registries(Message::Plan(PlanMessage::Samples { samples: lines.into() }));
            }
        }
        None
    }

    fn send_to_dispatcher(&self, message: DispatcherMessage) -> bool {
        let sent = self.dispatcher.send(message);
        if let Err(error) = &sent {
            log_rejected_message(error, "dispatcher");
        }
        sent.is_ok()
    }

    fn send_to_registries(&self, message: Message) {
        for to in self.registries.clone() {
            self.send_link_order(LinkOrder::Send { to, message: message.clone() });
        }
    }

    fn reply(&mut self, request_id: u64, reply: Reply) {
        let label = reply.outcome.map_or("refused", |outcome| outcome.as_str());
        *self.outcome_counts.entry(label).or_default() += 1;
        if let Some(call) = self.open_calls.remove(&request_id) {
            let _ = call.reply.send(reply);
        }
    }
}
