//! The control thread's loop: feeds the core from the inbox and executes the core's outputs.

use crate::api_calls::ApiReply;
use crate::control_message::ControlMessage;
use crate::core::{Core, CoreInput, CoreOutput};
use crate::keys;
use crate::membership_log::MembershipLog;
use crate::optimizer::OptimizerMessage;
use chain::{DepartureWait, DiskReport, DiskWriter};
use events::event;
use kernel::{Inbox, InboxSender, wait_for_signal};
use links::{LinkEvent, LinkOrder};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use wire::{Message, View};

const TICK: Duration = Duration::from_millis(10);
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// The control thread's state.
pub struct Control {
    pub core: Core,
    pub disk: DiskWriter,
    pub links: InboxSender<LinkOrder>,
    pub optimizer: InboxSender<OptimizerMessage>,
    pub calls: BTreeMap<u64, oneshot::Sender<ApiReply>>,
    pub last_call_id: u64,
    pub status: watch::Sender<String>,
    /// The revision that was last sent to the optimizer.
    pub sent_revision: Option<u64>,
    pub status_published_at: Instant,
    pub membership: MembershipLog,
    pub seeds: Vec<String>,
    /// Maximum time that a planned stop waits until the other registries no longer need this one.
    pub grace: Duration,
    /// Registries that a seed reported while this registry is empty.
    pub reported_registries: Vec<String>,
}

/// A planned stop in progress.
struct Departure {
    deadline: Instant,
    reported: Option<DepartureWait>,
}

fn addresses(view: &View) -> Vec<String> {
    view.voters.iter().map(|node| node.address.as_str().to_owned()).collect()
}

impl Control {
    /// Runs the loop until a planned stop is over.
    pub async fn run(mut self, sender: InboxSender<ControlMessage>, mut inbox: Inbox<ControlMessage>) {
        let started_at = Instant::now();
        let view = self.core.replica().view().clone();
        self.dial(&view);
        let _ = self.optimizer.send(OptimizerMessage::ViewAdopted { view });
        tokio::task::spawn_local(async move {
            wait_for_signal().await;
            sender.send_waiting(ControlMessage::Stop).await;
        });
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut departure = None;
        while !self.has_left(&mut departure) {
            let input = tokio::select! {
                biased;
                _ = ticks.tick() => Some(CoreInput::Tick),
                message = inbox.next() => match message {
                    None => return,
                    Some(ControlMessage::Stop) => {
                        event!(shutdown_started);
                        departure.get_or_insert(Departure { deadline: Instant::now() + self.grace, reported: None });
                        Some(CoreInput::Leave { within: self.grace })
                    }
                    Some(message) => self.handle_message(message),
                },
            };
            if let Some(input) = input {
                let outputs = self.core.step(started_at.elapsed(), input);
                self.execute(outputs);
                self.membership.log_changes(self.core.state());
            }
            self.publish_status();
        }
    }

    /// Whether a planned stop is over: either a view without this replica, which also names the optimizer's next host,
    /// is in effect, or the deadline has passed.
    fn has_left(&self, departure: &mut Option<Departure>) -> bool {
        let Some(departure) = departure else { return false };
        let Some(wait) = self.core.replica().departure_wait() else { return true };
        if departure.reported.replace(wait) != Some(wait) {
            event!(departure_waits, "for {}", wait.name());
        }
        let is_over = Instant::now() >= departure.deadline;
        if is_over {
            event!(departure_overdue, "stops like a crash, without waiting for {}", wait.name());
        }
        is_over
    }

    fn handle_message(&mut self, message: ControlMessage) -> Option<CoreInput> {
        match message {
            ControlMessage::Link(LinkEvent::Frame { from, incarnation, message }) => match message {
                Message::Chain(message) => Some(CoreInput::Chain { from, message }),
                Message::Lease(message) => Some(CoreInput::Router { from, incarnation, message }),
                _ => None,
            },
            ControlMessage::Link(_) | ControlMessage::Stop => None,
            ControlMessage::Disk(DiskReport::Written { ticket }) => Some(CoreInput::Written { ticket }),
            ControlMessage::Disk(DiskReport::Failed(fault)) => {
                event!(disk_failed, "{fault}");
                Some(CoreInput::DiskError)
            }
            ControlMessage::Disk(DiskReport::Recovered { stored }) => {
                event!(disk_recovered, "at entry {}", stored.last);
                Some(CoreInput::DiskRecovered { stored })
            }
            ControlMessage::Seeds(Ok(seeds)) => {
                event!(settings_applied, "seeds {}", seeds.join(","));
                self.seeds = seeds;
                let view = self.core.replica().view().clone();
                self.dial(&view);
                None
            }
            ControlMessage::Seeds(Err(fault)) => {
                event!(settings_rejected, "{fault}");
                None
            }
            ControlMessage::Call { call, reply } => {
                self.last_call_id += 1;
                self.calls.insert(self.last_call_id, reply);
                Some(CoreInput::Call { request_id: self.last_call_id, call })
            }
        }
    }

    fn send_order(&self, order: LinkOrder) {
        if self.links.send(order).is_err() {
            event!(inbox_full, "links");
        }
    }

    fn dial(&self, view: &View) {
        let addresses = addresses(view).into_iter().chain(self.reported_registries.iter().cloned());
        self.send_order(LinkOrder::KeepConnected { addresses: self.seeds.iter().cloned().chain(addresses).collect() });
    }

    fn execute(&mut self, outputs: Vec<CoreOutput>) {
        for output in outputs {
            match output {
                CoreOutput::Registry { to, message } => {
                    self.send_order(LinkOrder::Send { to, message: Message::Chain(message) })
                }
                CoreOutput::Router { to, message } => {
                    self.send_order(LinkOrder::Send { to, message: Message::Lease(message) })
                }
                CoreOutput::Seeds { message } => {
                    let reported_registries =
                        self.reported_registries.iter().filter(|address| !self.seeds.contains(address));
                    for address in self.seeds.iter().chain(reported_registries).cloned().collect::<Vec<_>>() {
                        self.send_order(LinkOrder::SendAddress { address, message: Message::Chain(message.clone()) });
                    }
                }
                CoreOutput::Write { ticket, batch } => {
                    if !self.disk.write(ticket, batch) {
                        event!(disk_failed, "the disk thread accepts no more writes");
                    }
                }
                CoreOutput::Reply { request_id, reply } => {
                    if let Some(waiting) = self.calls.remove(&request_id) {
                        let _ = waiting.send(reply);
                    }
                }
                CoreOutput::ViewLearned { view } => {
                    let addresses = addresses(&view);
                    if addresses != self.reported_registries {
                        self.reported_registries = addresses;
                        self.dial(&view);
                    }
                }
                CoreOutput::ViewAdopted { view } => {
                    self.reported_registries.clear();
                    let chain: Vec<String> = view.chain.iter().map(|id| format!("{id:016x}")).collect();
                    event!(view_adopted, "view {} chain {}", view.number, chain.join(" "));
                    self.dial(&view);
                    let _ = self.optimizer.send(OptimizerMessage::ViewAdopted { view });
                }
                CoreOutput::CaughtUp { missed_entries: Some(count) } => {
                    event!(missed_entries_applied, "{count} entries")
                }
                CoreOutput::CaughtUp { missed_entries: None } => event!(snapshot_installed),
                CoreOutput::ActivationDelayed { step, wait, waited } => {
                    let routers: Vec<String> = wait.routers().iter().map(|id| format!("{id:016x}")).collect();
                    let (name, seconds, routers) = (wait.name(), waited.as_secs(), routers.join(" "));
                    event!(activation_delayed, "step {step} has waited {seconds} s for {name}: {routers}")
                }
                CoreOutput::ChangeInvalid { fault } => event!(change_invalid, "{fault}"),
                CoreOutput::Activated { step } => {
                    event!(epoch_activated, "step {step}");
                    self.send_active_configuration(step);
                }
            }
        }
    }

    /// Sends the active configuration to the optimizer. An epoch that changes only the quorum has the same revision and
    /// is not sent.
    fn send_active_configuration(&mut self, step: u64) {
        let (state, prefix) = (self.core.state(), keys::ACTIVE_PAIRS);
        let revision = keys::read_number(state, keys::ACTIVE_REVISION);
        if self.sent_revision == Some(revision) {
            return;
        }
        let pairs =
            keys::with_prefix(state, prefix).map(|(key, value)| (key[prefix.len()..].to_owned(), value.clone()));
        let active = OptimizerMessage::Active { step, revision, pairs: pairs.collect() };
        match self.optimizer.send(active) {
            Ok(()) => self.sent_revision = Some(revision),
            Err(_) => event!(inbox_full, "optimizer"),
        }
    }

    fn publish_status(&mut self) {
        if self.status_published_at.elapsed() >= STATUS_INTERVAL {
            self.status_published_at = Instant::now();
            let status = self.core.status().to_string();
            self.status.send_if_modified(|old| {
                let differs = *old != status;
                *old = status;
                differs
            });
        }
    }
}

#[cfg(test)]
#[path = "control_loop_tests.rs"]
mod control_loop_tests;
