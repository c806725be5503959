//! One router's meter and one aggregator, message by message.

use quota::{
    Admission, ConsumerId, ConsumerLimit, QuotaAggregator, QuotaBounds, QuotaLimits, QuotaMeter, RefusalReason,
    report_interval,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaReport, QuotaTotal, QuotaTotals};

const ME: NodeId = 7;
const AGGREGATOR: NodeId = 1;
const NEXT: NodeId = 2;
const WHO: ConsumerId = ConsumerId(99);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits(rate_per_s: f64) -> Rc<QuotaLimits> {
    Rc::new([(WHO, ConsumerLimit { rate_per_s, burst: 10.0 })].into())
}

fn meter(members: usize) -> QuotaMeter {
    let mut meter = QuotaMeter::new(ME, 1, QuotaBounds::default());
    meter.set_limits(limits(20.0));
    meter.set_members(vec![AGGREGATOR, NEXT], members);
    meter
}

fn aggregator(members: &[NodeId]) -> QuotaAggregator {
    let mut aggregator = QuotaAggregator::new(QuotaBounds::default());
    aggregator.set_limits(limits(20.0));
    aggregator.set_members(ms(0), &members.iter().copied().collect::<BTreeSet<NodeId>>());
    aggregator
}

fn admit(meter: &mut QuotaMeter, now: Duration, count: usize) -> usize {
    (0..count).filter(|_| meter.admit(now, WHO) == Admission::Admit).count()
}

/// The next report, looked for every 20 ms as a router does.
fn report(meter: &mut QuotaMeter, from: Duration) -> (Duration, NodeId, QuotaReport) {
    for step in 0..100 {
        let now = from + ms(20) * step;
        if let Some((to, report)) = meter.report(now).into_iter().next() {
            return (now, to, report);
        }
    }
    unreachable!("a router reports at least as often as it says that it is there");
}

fn totals(number: u64, level_centi: i32, demand_centi: u32) -> QuotaTotals {
    QuotaTotals { number, totals: vec![QuotaTotal { consumer: WHO.0, level_centi, demand_centi }].into() }
}

#[test]
fn one_without_a_limit_is_admitted_and_not_counted() {
    let mut meter = meter(3);
    assert_eq!(meter.admit(ms(0), ConsumerId(5)), Admission::Admit);
    assert_eq!(meter.usage(ConsumerId(5)), None);
}

#[test]
fn a_rate_of_zero_is_no_limit() {
    let mut meter = meter(3);
    meter.set_limits(limits(0.0));
    assert_eq!(admit(&mut meter, ms(0), 1000), 1000);
}

#[test]
fn a_router_that_heard_nothing_admits_a_bounded_number() {
    let mut meter = meter(79);
    let admitted = admit(&mut meter, ms(0), 1000);
    assert!((1..=4).contains(&admitted), "{admitted}");
    assert!(matches!(meter.admit(ms(0), WHO), Admission::Refuse { .. }));
}

#[test]
fn what_is_given_back_may_be_admitted_again() {
    let mut meter = meter(79);
    let admitted = admit(&mut meter, ms(0), 1000);
    meter.refund(WHO);
    assert_eq!(admit(&mut meter, ms(0), 1000), 1);
    let counters = meter.usage(WHO).expect("a consumer that was counted").counters;
    assert_eq!((counters.admitted, counters.refunded), (admitted as u64 + 1, 1));
}

#[test]
fn nothing_is_given_back_that_was_not_admitted() {
    let mut meter = meter(79);
    meter.refund(WHO);
    let admitted = admit(&mut meter, ms(0), 1);
    (0..5).for_each(|_| meter.refund(WHO));
    assert_eq!(meter.usage(WHO).map(|usage| usage.counters.used()), Some(0), "{admitted} admitted, then given back");
}

#[test]
fn one_over_its_limit_is_admitted_its_part() {
    let mut meter = meter(1);
    let (mut now, mut admitted) = (ms(0), 0);
    for _ in 0..10 {
        admit(&mut meter, now, 10);
        let (at, _, report) = report(&mut meter, now);
        // Five times the limit arrives.
        meter.handle_totals(at, AGGREGATOR, &totals(report.number, 0, 10_000));
        admitted += admit(&mut meter, at, 10);
        now = at + ms(1);
    }
    assert!((15..=25).contains(&admitted), "a fifth of a hundred: {admitted}");
}

#[test]
fn a_lowered_limit_binds_at_once() {
    let mut meter = meter(1);
    admit(&mut meter, ms(0), 1);
    let (at, _, report) = report(&mut meter, ms(0));
    meter.handle_totals(at, AGGREGATOR, &totals(report.number, 0, 2000));
    let before = admit(&mut meter, at, 3);
    meter.set_limits(limits(0.1));
    let after = admit(&mut meter, at, 10);
    assert_eq!((before, after), (3, 0), "all of the demand is due, then a two-hundredth of it");
}

#[test]
fn one_that_is_refused_is_told_when_to_come_back() {
    let mut meter = meter(1);
    admit(&mut meter, ms(0), 20);
    let (at, _, report) = report(&mut meter, ms(0));
    meter.handle_totals(at, AGGREGATOR, &totals(report.number, -10_000, 10_000));
    let refused = meter.admit(at, WHO);
    let Admission::Refuse { retry_after, reason } = refused else { panic!("nothing is due: {refused:?}") };
    assert_eq!(reason, RefusalReason::OverLimit);
    assert!((ms(500)..=ms(5000)).contains(&retry_after), "{retry_after:?}");
}

#[test]
fn counts_are_reported_until_they_are_confirmed() {
    let mut meter = meter(3);
    admit(&mut meter, ms(0), 1);
    let (at, to, first) = report(&mut meter, ms(0));
    assert_eq!((to, first.counts.as_slice().len()), (AGGREGATOR, 1));
    let (at, _, second) = report(&mut meter, at + ms(20));
    assert_eq!(second.counts, first.counts, "the first was not answered");
    meter.handle_totals(at, AGGREGATOR, &totals(second.number, 500, 100));
    let (_, _, third) = report(&mut meter, at + ms(20));
    assert!(third.counts.as_slice().is_empty(), "it only says that it is there: {third:?}");
}

#[test]
fn an_aggregator_that_is_silent_is_passed_over_and_asked_whether_it_is_back() {
    let mut meter = meter(3);
    let mut asked = BTreeSet::new();
    for step in 0..200 {
        for (to, report) in meter.report(ms(20) * step) {
            asked.insert((to, report.is_probe));
            if to == NEXT {
                meter.handle_totals(ms(20) * step, NEXT, &QuotaTotals { number: report.number, ..Default::default() });
            }
        }
    }
    assert_eq!(asked, BTreeSet::from([(AGGREGATOR, 0), (NEXT, 0), (AGGREGATOR, 1)]));
    let probe = (200..300).flat_map(|step| meter.report(ms(20) * step)).find(|(_, report)| report.is_probe != 0);
    let (to, probe) = probe.expect("it is asked again");
    meter.handle_totals(ms(6000), to, &QuotaTotals { number: probe.number, ..Default::default() });
    assert_eq!(report(&mut meter, ms(6000)).1, AGGREGATOR);
}

#[test]
fn an_aggregator_whose_link_is_down_is_passed_over_at_once() {
    let mut meter = meter(3);
    report(&mut meter, ms(0));
    meter.handle_link_down(ms(300), AGGREGATOR);
    assert_eq!(report(&mut meter, ms(300)).1, NEXT);
}

#[test]
fn answers_nobody_asked_for_change_nothing() {
    let mut meter = meter(1);
    admit(&mut meter, ms(0), 1);
    let (at, _, report) = report(&mut meter, ms(0));
    meter.handle_totals(at, NEXT, &totals(report.number, -10_000, 10_000));
    meter.handle_totals(at, AGGREGATOR, &totals(report.number + 7, -10_000, 10_000));
    assert_eq!(meter.usage(WHO).and_then(|usage| usage.level), None);
}

#[test]
fn reports_are_rarer_in_a_large_fleet() {
    let intervals = [1, 79, 300, 430, 5000].map(report_interval);
    assert!(intervals.is_sorted() && intervals[0] == ms(200) && intervals[4] == ms(500), "{intervals:?}");
}

#[test]
fn repeated_reports_are_counted_once() {
    let (mut meter, mut once, mut twice) = (meter(1), aggregator(&[ME]), aggregator(&[ME]));
    admit(&mut meter, ms(5000), 2);
    let (now, _, report) = report(&mut meter, ms(5000));
    let first = once.handle_report(now, ME, &report);
    twice.handle_report(now, ME, &report);
    assert_eq!(twice.handle_report(now, ME, &report), first);
}

#[test]
fn reports_of_an_earlier_incarnation_and_impossible_counts_are_refused() {
    let (mut meter, mut aggregator) = (meter(1), aggregator(&[ME]));
    admit(&mut meter, ms(0), 2);
    let (now, _, report) = report(&mut meter, ms(0));
    // Incarnations are drawn at random: a later one may be the lower.
    let newer = QuotaReport { incarnation: report.incarnation - 1, ..report.clone() };
    assert!(aggregator.handle_report(now, ME, &report).is_some());
    assert!(aggregator.handle_report(now, ME, &newer).is_some());
    assert_eq!(aggregator.handle_report(now, ME, &report), None);
    let mut bent = report.counts.clone().into_vec();
    bent[0].refunded = u64::MAX;
    assert!(aggregator.handle_report(now, ME, &QuotaReport { counts: bent.into(), ..newer }).is_some());
    assert_eq!(aggregator.statistics().rejected, 2);
}

#[test]
fn a_share_of_the_rate_is_kept_for_members_that_are_not_heard() {
    let level = |members: &[NodeId]| {
        let (mut meter, mut aggregator) = (meter(members.len()), aggregator(members));
        admit(&mut meter, ms(10_000), 1);
        let (mut at, _, report) = report(&mut meter, ms(10_000));
        let mut told = aggregator.handle_report(at, ME, &report);
        for _ in 0..4 {
            at += ms(250);
            told = aggregator.handle_report(at, ME, &report);
        }
        told.expect("an answer").totals.as_slice()[0].level_centi
    };
    assert!(level(&[ME]) > level(&[ME, 8, 9, 10]), "{} {}", level(&[ME]), level(&[ME, 8, 9, 10]));
}
