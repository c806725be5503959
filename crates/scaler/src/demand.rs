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
const UNIT: Duration = Duration::from_millis(50);

/// Recent load of one function, averaged over its latest samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    /// Mean response time of answered requests; zero if none was answered.
    pub response: Duration,
    /// Mean number of requests waiting for a free slot on a running instance.
    pub waiting: f64,
    /// Mean number of requests waiting while no instance runs.
    pub queued: f64,
}

impl Level {
    /// Averages the first three of `samples`, which are ordered from the newest; the newest may be a current reading.
    pub fn mean<'a>(samples: impl Iterator<Item = &'a Sample>) -> Level {
        let three: Vec<&Sample> = samples.take(3).collect();
        let count = three.len().max(1) as f64;
        let answered: Vec<f64> = three.iter().map(|s| s.response.as_secs_f64()).filter(|s| *s > 0.0).collect();
        Level {
            response: Duration::from_secs_f64(answered.iter().sum::<f64>() / answered.len().max(1) as f64),
            waiting: three.iter().map(|s| s.waiting).sum::<f64>() / count,
            queued: three.iter().map(|s| s.queued).sum::<f64>() / count,
        }
    }
}

/// Returns the demand, in requests in flight, for each forecast rate in requests per second.
pub fn demand(rates: &[f64], level: Level, sheet: &WeightSheet) -> Vec<f64> {
    let units = level.response.as_secs_f64() / UNIT.as_secs_f64();
    let standing = level.waiting * sheet.waiting_weight + level.queued * sheet.held_weight;
    let whole = rates.iter().map(|rate| rate * units * sheet.work_weight + standing);
    whole.map(|demand| if demand < sheet.demand_floor { 0.0 } else { demand }).collect()
}

/// Returns the expected demand and the demand the plan has to cover: the latter follows the forecast's upper
/// bound if the sheet is risk-aware.
pub fn coverage(forecast: &Forecast, level: Level, sheet: &WeightSheet) -> (Vec<f64>, Vec<f64>) {
    let mean = demand(&forecast.mean, level, sheet);
    let covered = if sheet.risk_aware { demand(&forecast.upper, level, sheet) } else { mean.clone() };
    (mean, covered)
}

/// Returns the demand that one instance serves at the sheet's target usage; at least one request.
pub fn capacity(instance_limit: u32, sheet: &WeightSheet) -> f64 {
    (f64::from(instance_limit) * sheet.target_usage).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(response_ms: u64, waiting: f64, queued: f64) -> Sample {
        Sample { rate: 0.0, response: Duration::from_millis(response_ms), waiting, queued }
    }

    #[test]
    fn one_rare_queued_task_books_one_instance_and_a_busy_function_does_not_starve() {
        let sheet = WeightSheet::default();
        let rare = Level::mean([sample(0, 0.0, 1.0), sample(0, 0.0, 0.0), sample(0, 0.0, 0.0)].iter());
        let asked = demand(&[0.0], rare, &sheet)[0];
        assert!((asked - 1.0 / 3.0).abs() < 1e-12);
        assert_eq!((asked / capacity(1, &sheet)).ceil(), 1.0);
        let calm = Level::mean([sample(120, 0.0, 0.0)].iter());
        assert_eq!(demand(&[0.03], calm, &sheet), vec![0.0], "a call every half minute scales to zero");
        // 60 requests/s at 200 ms keep 12 in flight; limit 5 at usage 0.6 is 3 per instance: 4 instances.
        let busy = Level::mean([sample(200, 0.0, 0.0)].iter());
        let asked = demand(&[60.0], busy, &sheet)[0];
        assert!((asked - 12.0).abs() < 1e-9);
        assert_eq!((asked / capacity(5, &sheet)).ceil(), 4.0);
    }
}
