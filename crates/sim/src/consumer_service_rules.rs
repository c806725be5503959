//! Rules on the service consumers get: a repeated idempotency key runs nothing and gets the first answer, no more
//! requests run than the rate allows, and no consumer is starved.

use crate::consumer_rules::{SentRequest, ServiceRecord};
use crate::rules::Rules;
use std::time::Duration;

/// Time within which requests with the same idempotency key of a consumer are one operation.
pub const KEY_WINDOW: Duration = Duration::from_secs(60);
/// Window over which a consumer's rate is checked.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERRUN: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
/// Minimum number of requests of a consumer for the check of starvation.
const MIN_JUDGED_REQUESTS: u64 = 40;
/// A consumer is starved if its served share is below the share of all consumers divided by this number.
const STARVED_FRACTION: u64 = 4;

impl Rules {
    /// Sets a consumer's limit: requests per second, and a burst on top.
    pub fn set_limit(&mut self, consumer: &str, rate_per_s: f64, burst: f64) {
        self.consumers.limits.insert(consumer.to_owned(), (rate_per_s, burst));
    }

    /// Counts a request against its consumer's limit and returns whether it is within the limit.
    pub(crate) fn spend_from_limit(&mut self, consumer: &str, now: Duration) -> bool {
        let Some((rate_per_s, burst)) = self.consumers.limits.get(consumer).copied() else { return true };
        let most = burst.max(1.0);
        let (remaining_budget, at) = self.consumers.remaining_budget.entry(consumer.to_owned()).or_insert((most, now));
        *remaining_budget = (*remaining_budget + now.saturating_sub(*at).as_secs_f64() * rate_per_s).min(most);
        *at = now;
        let is_within = *remaining_budget >= 1.0;
        *remaining_budget -= f64::from(u8::from(is_within));
        is_within
    }

    pub(crate) fn check_operation_run(&mut self, now: Duration, label: &str, consumer: &str, request: &SentRequest) {
        let Some(key) = request.operation.clone().filter(|_| !consumer.is_empty()) else { return };
        let runs = self.consumers.operations.entry((consumer.to_owned(), key.clone())).or_default();
        let in_window = |(sent, _): &&(Duration, String)| request.sent.abs_diff(*sent) < KEY_WINDOW;
        let earlier = runs.iter().find(in_window).map(|(_, label)| label.clone());
        runs.push((request.sent, label.to_owned()));
        if let Some(earlier) = earlier {
            self.report_violation(now, format!("{label} ran, as {earlier} had under {consumer}'s key {key}"));
        }
    }

    /// Checks the requests that were both sent and run within the window against the consumer's rate.
    pub(crate) fn check_rate_limit(&mut self, now: Duration, consumer: &str, sent: Duration) {
        let Some((rate_per_s, burst)) = self.consumers.limits.get(consumer).copied() else { return };
        let admitted = self.consumers.admitted.entry(consumer.to_owned()).or_default();
        admitted.push_back(sent);
        admitted.retain(|sent| now <= *sent + QUOTA_WINDOW);
        let count = admitted.len();
        let most = (rate_per_s * QUOTA_WINDOW.as_secs_f64() + burst) * (1.0 + QUOTA_OVERRUN) + QUOTA_SLACK;
        if rate_per_s > 0.0 && count as f64 > most {
            self.report_violation(now, format!("{count} requests of {consumer} ran within 5 s, {most:.0} allowed"));
        }
    }

    /// Checks a successful answer: a repeat gets the answer of the first run of its operation.
    pub fn answered_consumer(&mut self, now: Duration, label: &str, body: &[u8]) {
        let Some(request) = self.consumers.sent.get(label).cloned() else { return };
        self.served_consumer(label);
        let holder = request.api_key.as_ref().and_then(|key| self.consumers.keys.get(key));
        let consumer = holder.map(|record| record.consumer.clone());
        let (Some(key), Some(consumer)) = (request.operation, consumer) else { return };
        let first = self.consumers.operations.get(&(consumer, key)).and_then(|runs| runs.first());
        let first = first.map(|(_, label)| label.clone()).unwrap_or_default();
        if first.as_bytes() != body {
            let message = String::from_utf8_lossy(body).into_owned();
            self.report_violation(
                now,
                format!("{label} was answered with {message}, the first run of its key was {first}"),
            );
        }
    }

    /// Records that a request was answered or durably accepted.
    pub fn served_consumer(&mut self, label: &str) {
        let owed = self.consumers.sent.get(label).filter(|_| !self.consumers.over_limit.contains(label));
        let owed = owed.and_then(|request| self.entitled_consumer(request, request.sent));
        if let Some(record) = owed.and_then(|consumer| self.consumers.service.get_mut(&consumer)) {
            record.served += 1;
        }
    }

    /// Checks that the served share of no consumer is below a quarter of that of all consumers.
    pub fn check_fair_service(&mut self, now: Duration) {
        let service = &self.consumers.service;
        let asked: u64 = service.values().map(|record| record.asked).sum();
        let served: u64 = service.values().map(|record| record.served).sum();
        let is_starved = |record: &ServiceRecord| {
            record.asked >= MIN_JUDGED_REQUESTS && record.served * asked * STARVED_FRACTION < served * record.asked
        };
        let starved = service.iter().find(|(_, record)| is_starved(record));
        let message = starved.map(|(name, record)| {
            format!(
                "{name} was served {} of {} requests, all consumers {served} of {asked}",
                record.served, record.asked
            )
        });
        message.into_iter().for_each(|message| self.report_violation(now, message));
    }
}
