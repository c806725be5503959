//! Converts a forecast request rate to demand: rate x response time x 0.05, plus three-sample means of
//! waiting requests x 0.1 and queued requests x 1.0. The formula comes from the design this scaler
//! follows, which does not give the unit of the response time. It is measured here in units of 50 ms, so
//! the first term is the mean number of requests in flight and every term counts requests. The capacity
//! of an instance is its request limit at the sheet's target usage, and at least the one request that
//! every instance can serve. Demand below the sheet's floor counts as zero: a forecast is hardly ever
//! exactly zero, and a function called once in several minutes should scale to zero between calls.

use crate::forecast::Forecast;
use crate::window::Sample;
use bindings::WeightSheet;
use std::time::Duration;

/// Unit of response times in the demand formula.
const RESPONSE_TIME_UNIT: Duration = Duration::from_millis(50);

/// Recent load of one function, averaged over its latest samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentLoad {
    /// Mean response time of answered requests; zero if none was answered.
    pub response_time: Duration,
    /// Mean number of requests waiting for a free slot on a running instance.
    pub waiting: f64,
    /// Mean number of requests waiting while no instance runs.
    pub queued: f64,
}

impl RecentLoad {
    /// Averages the first three of `samples`, which are ordered from the newest; the newest may be a current reading.
    pub fn mean<'a>(samples: impl Iterator<Item = &'a Sample>) -> RecentLoad {
        let newest_three: Vec<&Sample> = samples.take(3).collect();
        let count = newest_three.len().max(1) as f64;
        let response_times: Vec<f64> =
            newest_three.iter().map(|s| s.response_time.as_secs_f64()).filter(|s| *s > 0.0).collect();
        RecentLoad {
            response_time: Duration::from_secs_f64(
                response_times.iter().sum::<f64>() / response_times.len().max(1) as f64,
            ),
            waiting: newest_three.iter().map(|s| s.waiting).sum::<f64>() / count,
            queued: newest_three.iter().map(|s| s.queued).sum::<f64>() / count,
        }
    }
}

/// Returns the demand, in requests in flight, for each forecast rate in requests per second.
pub fn demand_for_rates(rates: &[f64], load: RecentLoad, sheet: &WeightSheet) -> Vec<f64> {
    let units = load.response_time.as_secs_f64() / RESPONSE_TIME_UNIT.as_secs_f64();
    let waiting_demand = load.waiting * sheet.waiting_weight + load.queued * sheet.held_weight;
    let demands = rates.iter().map(|rate| rate * units * sheet.work_weight + waiting_demand);
    demands.map(|demand| if demand < sheet.demand_floor { 0.0 } else { demand }).collect()
}

/// Returns the expected demand and the demand the plan has to cover: the latter follows the forecast's upper
/// bound if the sheet is risk-aware.
pub fn expected_and_covered_demand(forecast: &Forecast, load: RecentLoad, sheet: &WeightSheet) -> (Vec<f64>, Vec<f64>) {
    let mean = demand_for_rates(&forecast.mean, load, sheet);
    let covered = if sheet.risk_aware { demand_for_rates(&forecast.upper, load, sheet) } else { mean.clone() };
    (mean, covered)
}

/// Returns the demand that one instance serves at the sheet's target usage; at least one request.
pub fn instance_capacity(instance_limit: u32, sheet: &WeightSheet) -> f64 {
    (f64::from(instance_limit) * sheet.target_usage).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(response_ms: u64, waiting: f64, queued: f64) -> Sample {
        Sample { rate: 0.0, response_time: Duration::from_millis(response_ms), waiting, queued }
    }

    #[test]
    fn a_queued_request_needs_one_instance_and_a_busy_function_gets_enough() {
        let sheet = WeightSheet::default();
        let rare_load = RecentLoad::mean([sample(0, 0.0, 1.0), sample(0, 0.0, 0.0), sample(0, 0.0, 0.0)].iter());
        let expected = demand_for_rates(&[0.0], rare_load, &sheet)[0];
        assert!((expected - 1.0 / 3.0).abs() < 1e-12);
        assert_eq!((expected / instance_capacity(1, &sheet)).ceil(), 1.0);
        let idle_load = RecentLoad::mean([sample(120, 0.0, 0.0)].iter());
        assert_eq!(demand_for_rates(&[0.03], idle_load, &sheet), vec![0.0], "a call every half minute scales to zero");
        // 60 requests/s at 200 ms keep 12 in flight; limit 5 at usage 0.6 is 3 per instance: 4 instances.
        let busy_load = RecentLoad::mean([sample(200, 0.0, 0.0)].iter());
        let expected = demand_for_rates(&[60.0], busy_load, &sheet)[0];
        assert!((expected - 12.0).abs() < 1e-9);
        assert_eq!((expected / instance_capacity(5, &sheet)).ceil(), 4.0);
    }
}
