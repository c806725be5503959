//! Restarts of all registries, or of all machines, at new addresses, with changes under way: some registries are
//! asked to stop and have more or less time for it, others are killed.

use crate::world::World;
use leases::stable_hash;
use rand::RngExt;
use std::time::Duration;

/// Maximum time until all machines are running again.
const MAX_DOWN_TIME: Duration = Duration::from_secs(4);
/// Time for recovery after the restarts. A change may wait for stopped routers for ten seconds and a fifteenth, and
/// for the preceding restarts.
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
        self.log(|| format!("all registries restart at new addresses, the routers too: {routers_move}"));
        MAX_DOWN_TIME + RECOVERY
    }
}
