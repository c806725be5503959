//! The owner's part in parameter tuning. Measurements of each function go to the registries with every sample, and
//! the parameters in force at the host of the optimizer come back, fenced by the number with which that host was
//! appointed.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::{FunctionScheduler, MeasurementCounts};
use wire::{Measurement, TunedParameters};

impl FunctionScheduler {
    /// Returns the measurements since the previous sample, or `None` if the function was inactive.
    pub(crate) fn take_measurement(&mut self, name: &str, observations: f64) -> Option<Measurement> {
        let seen = std::mem::take(&mut self.measurement);
        let is_inactive = self.arrivals == 0 && seen.boots == 0 && seen.refused == 0;
        (!is_inactive).then(|| Measurement {
            function: name.into(),
            boot_micro: (seen.boot / seen.boots.max(1)).as_micros() as u64,
            boots: seen.boots,
            refused: seen.refused,
            rejections: seen.rejections,
            waiting_milli: (self.waiting_sum * 1000.0 / observations) as u64,
            usage_milli: (seen.usage_sum * 1000.0 / observations) as u64,
        })
    }
}

impl MeasurementCounts {
    /// Counts an instance start and its duration.
    pub(crate) fn record_boot(&mut self, took: std::time::Duration) {
        self.boots += 1;
        self.boot += took;
    }
}

impl FunctionOwner {
    /// Stores received parameters unless parameters with a newer fence came earlier, and applies them.
    pub(crate) fn receive_tuned_parameters(&mut self, fence: u64, lines: Vec<TunedParameters>) {
        if fence < self.tuned.0 {
            return;
        }
        self.tuned = (fence, lines);
        self.apply_tuned_parameters();
    }

    /// Applies the stored parameters to all functions.
    pub(crate) fn apply_tuned_parameters(&mut self) {
        for scheduler in self.schedulers.values_mut() {
            let line = self.tuned.1.iter().find(|line| line.function.as_str() == scheduler.function.name);
            scheduler.tuned_usage = line.map(|line| line.target_usage_micro as f64 / 1e6);
        }
    }

    /// Returns the stored parameters and their fence.
    pub fn tuned(&self) -> &(u64, Vec<TunedParameters>) {
        &self.tuned
    }
}
