//! What the platform tells, set against this home's own orders: its list lags, so an instance
//! ordered lately need not be on it, and one stopped lately may still be. An instance learned to
//! be leaving or gone gets nothing more from that moment; one nobody is home to is stopped.

use crate::home::Home;
use crate::home_types::HomeOutput;
use crate::instance::{Instance, InstanceEvent, Phase};
use events::event;
use std::collections::BTreeMap;
use std::time::Duration;
use supply::{InstanceLine, Listing, Probe, StartReceipt, SupplyOrder, SupplyReport};

const NO_MEMORY_PAUSE: Duration = Duration::from_millis(1000);
const LIMITED_PAUSE: Duration = Duration::from_millis(250);
const UNBOUND_LASTS: Duration = Duration::from_secs(15);

impl Home {
    pub(crate) fn platform(&mut self, report: SupplyReport, listed_at: Duration) {
        match report {
            SupplyReport::Started { id, receipt } => self.started(&id, receipt),
            SupplyReport::Probed { id, probe } => {
                let now = self.now;
                for desk in self.desks.values_mut() {
                    let Some(instance) = desk.instances.get_mut(&id) else { continue };
                    match probe {
                        Probe::Ready => {
                            if instance.phase() == Phase::Starting {
                                desk.seen.booted(now.saturating_sub(instance.ordered));
                            }
                            instance.take(InstanceEvent::Ready);
                        }
                        Probe::Silent => instance.take(InstanceEvent::Lost),
                    }
                }
            }
            SupplyReport::Stopped { id, taken } => {
                if taken {
                    for desk in self.desks.values_mut() {
                        desk.instances.retain(|known, instance| *known != id || instance.busy > 0);
                    }
                }
            }
            SupplyReport::Listed { listing, .. } => self.listed(listing, listed_at),
            SupplyReport::ListFault => event!(platform_refused, "list"),
        }
    }

    fn started(&mut self, id: &str, receipt: StartReceipt) {
        let now = self.now;
        for desk in self.desks.values_mut() {
            let Some(instance) = desk.instances.get_mut(id) else { continue };
            match &receipt {
                StartReceipt::Accepted { address } => instance.address = address.clone(),
                StartReceipt::Unanswered => event!(platform_refused, "start of {id} unanswered"),
                StartReceipt::NoMemory | StartReceipt::Limited => {
                    event!(platform_refused, "start of {id}: {receipt:?}");
                    desk.instances.remove(id);
                    let wakes = desk.instances.is_empty() && !desk.held.is_empty();
                    let grows = receipt == StartReceipt::NoMemory && !wakes;
                    desk.refused_until = now + if grows { NO_MEMORY_PAUSE } else { LIMITED_PAUSE };
                    let name = desk.function.name.clone();
                    if receipt == StartReceipt::NoMemory {
                        self.ask_to_give_way(&name);
                    }
                }
            }
            return;
        }
        if matches!(receipt, StartReceipt::Accepted { .. }) {
            self.outs.push(HomeOutput::Platform(SupplyOrder::Stop { id: id.to_owned() }));
        }
    }

    fn listed(&mut self, listing: Listing, asked: Duration) {
        let now = self.now;
        let mut by_function: BTreeMap<String, Vec<InstanceLine>> = BTreeMap::new();
        let leaving = listing.instances.iter().filter(|line| line.state == "leaving");
        self.leaving.extend(leaving.map(|line| (line.id.clone(), now)));
        for line in listing.instances {
            by_function.entry(line.service.clone()).or_default().push(line);
        }
        self.listed = by_function.iter().map(|(name, lines)| (name.clone(), lines.len() as u32)).collect();
        let overlay = self.timing.start_expiry;
        for (name, desk) in &mut self.desks {
            let lines = by_function.remove(name).unwrap_or_default();
            let known: BTreeMap<&str, &InstanceLine> = lines.iter().map(|line| (line.id.as_str(), line)).collect();
            for (id, instance) in &mut desk.instances {
                match known.get(id.as_str()) {
                    Some(line) => {
                        instance.listed = true;
                        if instance.address.is_empty() {
                            instance.address = line.address.clone();
                        }
                        match line.state.as_str() {
                            "running" if instance.stopping.is_none() => instance.take(InstanceEvent::Ready),
                            "leaving" => instance.take(InstanceEvent::Drain),
                            _ => {}
                        }
                    }
                    None if instance.listed || asked > instance.ordered + overlay => {
                        instance.take(InstanceEvent::Lost);
                    }
                    None => {}
                }
            }
            let gone = |instance: &Instance| instance.phase() == Phase::Gone && instance.busy == 0;
            desk.instances.retain(|id, instance| !gone(instance) || known.contains_key(id.as_str()));
            if desk.leaving.is_none() {
                for line in &lines {
                    let fresh = line.state != "leaving" && !self.stopped.contains_key(&line.id);
                    if fresh && !desk.instances.contains_key(&line.id) {
                        let mut instance = Instance::new(now, &line.address);
                        instance.listed = true;
                        if line.state == "running" {
                            instance.take(InstanceEvent::Ready);
                        }
                        desk.instances.insert(line.id.clone(), instance);
                    }
                }
                if let Some((since, _)) = desk.adopting
                    && asked > since
                {
                    desk.adopting = Some((since, true));
                }
            }
        }
        self.stop_orphans(by_function);
    }

    /// Instances of functions bound no longer, whose home by name this router would be.
    fn stop_orphans(&mut self, left: BTreeMap<String, Vec<InstanceLine>>) {
        let now = self.now;
        let Some(book) = self.book.clone() else { return };
        let mine = |name: &String| book.function(name).is_none() && self.is_home(name);
        let orphans: Vec<String> =
            left.into_iter().filter(|(name, _)| mine(name)).flat_map(|(_, lines)| lines).map(|line| line.id).collect();
        self.unbound.retain(|id, _| orphans.contains(id));
        for id in orphans {
            let since = *self.unbound.entry(id.clone()).or_insert(now);
            if now > since + UNBOUND_LASTS && !self.stopped.contains_key(&id) {
                self.stopped.insert(id.clone(), now);
                event!(stop_ordered, "{id}, of a function bound no longer");
                self.outs.push(HomeOutput::Platform(SupplyOrder::Stop { id }));
            }
        }
    }
}
