//! When the workers' memory is full: a home whose callers wait asks all homes to give way, and each
//! stops at most one idle instance a second, of the tenant that has most here, longest idle first.
//! What gave way is not started again for a while unless callers wait for it.

use crate::home::Home;
use crate::home_types::HomeOutput;
use crate::instance::{InstanceEvent, Phase};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{CarryMsg, NodeId};

const PAUSE: Duration = Duration::from_secs(1);
const HOLDS_BACK: Duration = Duration::from_secs(10);
const IDLE: Duration = Duration::from_millis(500);

impl Home {
    pub(crate) fn ask_to_give_way(&mut self, name: &str) {
        let Some(desk) = self.desks.get(name) else { return };
        if desk.held.is_empty() {
            return;
        }
        let memory_mb = desk.function.memory_mb;
        let members: Vec<NodeId> = self.roster.members.iter().map(|member| member.id).collect();
        for to in members {
            let message = CarryMsg::GiveWay { function: name.into(), memory_mb };
            self.outs.push(HomeOutput::Carry { to, message });
        }
    }

    pub(crate) fn give_way(&mut self, asking: &str) {
        let now = self.now;
        if now < self.gave_way + PAUSE {
            return;
        }
        let mut per_tenant: BTreeMap<String, usize> = BTreeMap::new();
        for desk in self.desks.values() {
            *per_tenant.entry(desk.function.tenant.clone()).or_default() += desk.instances.len();
        }
        let idle = self.desks.iter().filter(|(name, desk)| {
            let spare = desk.count(Phase::Ready) > desk.function.fixed.unwrap_or(desk.function.min);
            name.as_str() != asking && desk.held.is_empty() && desk.leaving.is_none() && spare
        });
        let selected = idle
            .flat_map(|(name, desk)| desk.instances.iter().map(move |(id, instance)| (name, desk, id, instance)))
            .filter(|(_, _, _, instance)| instance.phase() == Phase::Ready && instance.busy == 0)
            .filter(|(_, _, _, instance)| now > instance.used + IDLE)
            .min_by_key(|(_, desk, id, instance)| {
                let share = per_tenant.get(&desk.function.tenant).copied().unwrap_or_default();
                (std::cmp::Reverse(share), instance.used, (*id).clone())
            })
            .map(|(name, _, id, _)| (name.clone(), id.clone()));
        let Some((name, id)) = selected else { return };
        self.gave_way = now;
        if let Some(desk) = self.desks.get_mut(&name) {
            desk.holds_back = now + HOLDS_BACK;
            if let Some(instance) = desk.instances.get_mut(&id) {
                instance.take(InstanceEvent::Drain);
            }
        }
    }
}
