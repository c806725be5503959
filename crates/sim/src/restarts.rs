//! Restarts of all registries, or of all machines, at other addresses: some are told to stop and have more or less
//! time for it, others are killed, with changes under way.

use crate::world::World;
use leases::stable_hash;
use rand::RngExt;
use std::time::Duration;

/// All are away for a moment, and back after this at the latest.
const MAX_DOWN_TIME: Duration = Duration::from_secs(4);
/// A change may wait for the routers that are gone for ten seconds and a fifteenth, and for the restarts before.
const RECOVERY: Duration = Duration::from_secs(8);

impl World {
    pub(crate) fn restart_at_new_addresses(&mut self) -> Duration {
        let registries = self.live_registries();
        for n in registries.iter().copied() {
            if self.rng.random_bool(0.6) {
                let within = self.random_ms(300, 4000);
                self.feed_registry(n, control::CoreInput::Leave { within });
            }
        }
        let routers_move = self.rng.random_bool(0.5);
        for n in registries {
            let address = self.new_address();
            if let Some(seed) = self.seeds.iter_mut().find(|seed| **seed == self.registries[n].address) {
                seed.clone_from(&address);
            }
            self.registries[n].address = address;
            self.registries[n].seeds.clear();
            self.kill_registry_for(n, 100, 2500);
        }
        for n in 0..self.routers.len() {
            self.kill_router_for(n, 200, 3000);
            if routers_move {
                self.last_number += 1;
                let address = format!("10.0.7.{}:1", self.last_number);
                self.routers[n].id = stable_hash(&[address.as_bytes()]) | 1;
                self.routers[n].address = address;
            }
        }
        self.log(|| format!("all registries restart elsewhere, the routers too: {routers_move}"));
        MAX_DOWN_TIME + RECOVERY
    }
}
