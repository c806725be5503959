//! The reports that are not answered yet, with what they told: an answer confirms it.

use crate::counts::Counters;
use crate::limits::ConsumerId;
use std::collections::VecDeque;
use wire::{NodeId, QuotaCount, QuotaReport};

/// So many reports may be unanswered; older ones are taken to be lost.
const OPEN_REPORTS: usize = 8;

#[derive(Debug)]
struct OpenReport {
    number: u64,
    to: NodeId,
    counts: Vec<(ConsumerId, Counters)>,
}

/// Numbers reports and keeps those that are open.
#[derive(Debug, Default)]
pub(crate) struct OpenReports {
    reports: VecDeque<OpenReport>,
    last_number: u64,
}

impl OpenReports {
    /// A report of these counts, which is open from now on.
    pub(crate) fn open(&mut self, to: NodeId, incarnation: u64, counts: Vec<QuotaCount>) -> QuotaReport {
        self.last_number += 1;
        let told = counts.iter().map(|count| (ConsumerId(count.consumer), Counters::from(count))).collect();
        self.reports.push_back(OpenReport { number: self.last_number, to, counts: told });
        if self.reports.len() > OPEN_REPORTS {
            self.reports.pop_front();
        }
        QuotaReport { incarnation, number: self.last_number, is_probe: 0, counts: counts.into() }
    }

    pub(crate) fn is_open(&self, number: u64, to: NodeId) -> bool {
        self.reports.iter().any(|report| report.number == number && report.to == to)
    }

    /// Closes a report that was answered and those before it, whose counts it told again or which are confirmed.
    pub(crate) fn close_up_to(&mut self, number: u64, to: NodeId) -> Vec<(ConsumerId, Counters)> {
        let mut confirmed = Vec::new();
        while self.reports.front().is_some_and(|report| report.number <= number) {
            let report = self.reports.pop_front().filter(|report| report.to == to);
            confirmed.extend(report.into_iter().flat_map(|report| report.counts));
        }
        confirmed
    }

    pub(crate) fn clear(&mut self) {
        self.reports.clear();
    }
}
