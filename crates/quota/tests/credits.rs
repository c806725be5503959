//! Message-level tests of a meter and of granters.

use quota::{
    Admission, ConsumerId, ConsumerLimit, GranterMembership, Granters, QuotaBounds, QuotaGranter, QuotaLimits,
    QuotaMeter,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaGrant, QuotaRequest};

const ME: NodeId = 7;
const CONSUMER: ConsumerId = ConsumerId(99);
/// Time at which all buckets are full.
const BUCKETS_FULL_AT: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits(rate_per_s: f64) -> Rc<QuotaLimits> {
    Rc::new([(CONSUMER, ConsumerLimit { rate_per_s, burst: 10.0 })].into())
}

fn meter(granters: &[NodeId]) -> QuotaMeter {
    let mut meter = QuotaMeter::new(ME, 1, QuotaBounds::default());
    meter.set_limits(limits(20.0));
    meter.set_granters(Granters::new(granters.iter().copied()));
    meter
}

fn membership(granters: &[NodeId]) -> GranterMembership {
    GranterMembership {
        granters: Granters::new(granters.iter().copied()),
        members: granters.iter().copied().collect(),
        leaving: BTreeSet::new(),
    }
}

fn granter(me: NodeId, incarnation: u64, now: Duration, granters: &[NodeId]) -> QuotaGranter {
    let mut granter = QuotaGranter::new(me, incarnation, QuotaBounds::default());
    granter.set_limits(now, limits(20.0));
    granter.set_membership(now, membership(granters));
    granter
}

fn next_request(meter: &mut QuotaMeter, now: Duration) -> Option<(NodeId, QuotaRequest)> {
    meter.take_requests(now, |_| 1).into_iter().next()
}

fn deliver_grant(meter: &mut QuotaMeter, now: Duration, from: NodeId, number: u64, granted: u32) {
    meter.handle_grant(now, from, &QuotaGrant { number, granted, retry_after_ms: 0 });
}

/// Takes all the credits that a granter has at a given time.
fn take_all_credits(granter: &mut QuotaGranter, now: Duration) -> u32 {
    granter.handle_request(now, true, &QuotaRequest { number: 1, consumer: CONSUMER.0, wanted: 10_000 }).granted
}

/// Delivers the queries of the granters to each other, and the replies.
fn exchange_queries(granters: &mut [(NodeId, QuotaGranter)], now: Duration) {
    for sender in 0..granters.len() {
        for (to, query) in granters[sender].1.take_queries(now) {
            let Some((_, receiver)) = granters.iter().find(|(id, _)| *id == to) else { continue };
            let reply = receiver.handle_query(now, &query);
            granters[sender].1.handle_reply(now, to, &reply);
        }
    }
}

#[test]
fn an_unlimited_consumer_needs_no_credit() {
    let mut meter = meter(&[1]);
    assert_eq!(meter.admit(ms(0), ConsumerId(5), true), Admission::Unlimited);
    meter.set_limits(limits(0.0));
    assert_eq!(meter.admit(ms(0), CONSUMER, true), Admission::Unlimited);
}

#[test]
fn a_meter_admits_only_as_many_requests_as_were_granted() {
    let mut meter = meter(&[1]);
    assert!((0..1000).all(|_| meter.admit(ms(0), CONSUMER, true) == Admission::Wait));
    let (to, request) = next_request(&mut meter, ms(0)).expect("a request for credits");
    deliver_grant(&mut meter, ms(5), to, request.number, 3);
    let admitted = (0..1000).filter(|_| matches!(meter.admit(ms(6), CONSUMER, true), Admission::Admit(_))).count();
    assert_eq!(admitted, 3);
}

#[test]
fn a_credit_expires_counted_from_its_request() {
    let mut meter = meter(&[1]);
    meter.admit(ms(0), CONSUMER, true);
    let (to, request) = next_request(&mut meter, ms(0)).expect("a request for credits");
    deliver_grant(&mut meter, ms(400), to, request.number, 2);
    assert!(matches!(meter.admit(ms(401), CONSUMER, true), Admission::Admit(_)));
    assert_eq!(meter.admit(ms(501), CONSUMER, true), Admission::Wait);
}

#[test]
fn a_grant_counts_once_and_only_for_the_incarnation_that_asked() {
    let mut meter = meter(&[1]);
    meter.admit(ms(0), CONSUMER, true);
    let (to, request) = next_request(&mut meter, ms(0)).expect("a request for credits");
    for _ in 0..3 {
        deliver_grant(&mut meter, ms(1), to, request.number, 1);
    }
    assert!(matches!(meter.admit(ms(2), CONSUMER, true), Admission::Admit(_)));
    assert_eq!(meter.admit(ms(2), CONSUMER, true), Admission::Wait);
    let mut restarted = QuotaMeter::new(ME, 2, QuotaBounds::default());
    restarted.set_limits(limits(20.0));
    restarted.set_granters(Granters::new([1]));
    restarted.admit(ms(0), CONSUMER, true);
    let (_, new_request) = next_request(&mut restarted, ms(0)).expect("a request for credits");
    deliver_grant(&mut restarted, ms(3), to, request.number, 1);
    assert_ne!(new_request.number, request.number);
    assert!(!restarted.has_credits(ms(3), CONSUMER));
}

#[test]
fn a_refunded_credit_is_reusable_until_it_expires() {
    let mut meter = meter(&[1]);
    meter.admit(ms(0), CONSUMER, true);
    let (to, request) = next_request(&mut meter, ms(0)).expect("a request for credits");
    deliver_grant(&mut meter, ms(1), to, request.number, 1);
    let Admission::Admit(charge) = meter.admit(ms(2), CONSUMER, true) else { panic!("a credit is available") };
    meter.refund(ms(3), charge);
    let Admission::Admit(charge) = meter.admit(ms(4), CONSUMER, true) else { panic!("the credit was refunded") };
    meter.refund(ms(1000), charge);
    assert!(!meter.has_credits(ms(1000), CONSUMER), "the credit has expired");
}

#[test]
fn extra_attempts_are_paid_before_new_requests() {
    let mut meter = meter(&[1]);
    meter.admit(ms(0), CONSUMER, true);
    let (to, request) = next_request(&mut meter, ms(0)).expect("a request for credits");
    deliver_grant(&mut meter, ms(1), to, request.number, 1);
    assert!(matches!(meter.admit(ms(2), CONSUMER, true), Admission::Admit(_)));
    meter.charge_extra_attempts(ms(3), CONSUMER, 2);
    let (to, request) = next_request(&mut meter, ms(3)).expect("credits for the extra attempts are requested");
    assert!(request.wanted >= 2, "{request:?}");
    deliver_grant(&mut meter, ms(4), to, request.number, 3);
    let admitted = (0..10).filter(|_| matches!(meter.admit(ms(5), CONSUMER, true), Admission::Admit(_))).count();
    assert_eq!(admitted, 1);
}

#[test]
fn another_granter_is_asked_after_a_timeout_or_a_lost_link() {
    let mut meter = meter(&[1, 2]);
    meter.admit(ms(0), CONSUMER, true);
    let (first, _) = next_request(&mut meter, ms(0)).expect("a request for credits");
    assert_eq!(meter.handle_tick(ms(100)), [CONSUMER]);
    meter.admit(ms(100), CONSUMER, false);
    let (second, _) = next_request(&mut meter, ms(100)).expect("another request");
    assert_ne!(first, second);
    assert_eq!(meter.handle_link_down(ms(101), second), [CONSUMER]);
    meter.admit(ms(101), CONSUMER, false);
    let (third, _) = next_request(&mut meter, ms(101)).expect("a third request");
    assert_eq!(third, first);
}

#[test]
fn a_consumer_at_its_limit_is_refused_until_a_granter_may_have_credits() {
    let mut meter = meter(&[1]);
    meter.admit(ms(0), CONSUMER, true);
    let (to, request) = next_request(&mut meter, ms(0)).expect("a request for credits");
    meter.handle_grant(ms(2), to, &QuotaGrant { number: request.number, granted: 0, retry_after_ms: 300 });
    let refused = meter.admit(ms(3), CONSUMER, true);
    let Admission::Refuse { retry_after } = refused else { panic!("nothing is granted: {refused:?}") };
    assert!((ms(500)..=ms(5000)).contains(&retry_after), "{retry_after:?}");
    assert_eq!(next_request(&mut meter, ms(3)), None);
    assert_eq!(meter.admit(ms(302), CONSUMER, true), Admission::Wait);
}

#[test]
fn a_granter_grants_its_share_and_tells_when_to_retry() {
    let mut granter = granter(1, 1, ms(0), &[1]);
    let request = QuotaRequest { number: 4, consumer: CONSUMER.0, wanted: 10_000 };
    let first = granter.handle_request(BUCKETS_FULL_AT, true, &request);
    assert!(first.granted >= 10 && first.retry_after_ms > 0, "{first:?}");
    assert_eq!(granter.handle_request(BUCKETS_FULL_AT, true, &request).granted, 0);
    let a_second_later = granter.handle_request(BUCKETS_FULL_AT + ms(1000), true, &request);
    assert!((19..=20).contains(&a_second_later.granted), "{a_second_later:?}");
    assert_eq!(granter.handle_request(BUCKETS_FULL_AT + ms(9000), false, &request).granted, 0, "no lease");
}

#[test]
fn a_lowered_limit_applies_to_a_granter_at_once() {
    let mut granter = granter(1, 1, ms(0), &[1]);
    take_all_credits(&mut granter, BUCKETS_FULL_AT);
    granter.set_limits(BUCKETS_FULL_AT, limits(1.0));
    assert!(take_all_credits(&mut granter, BUCKETS_FULL_AT + ms(2000)) <= 2);
}

#[test]
fn a_new_granter_grants_nothing_until_the_others_confirm_its_membership() {
    let (both, alone) = (&[1, 2], &[1]);
    let mut granters = [(1, granter(1, 1, ms(0), alone)), (2, granter(2, 1, BUCKETS_FULL_AT, both))];
    assert!(take_all_credits(&mut granters[0].1, BUCKETS_FULL_AT) > 0);
    exchange_queries(&mut granters, BUCKETS_FULL_AT);
    assert_eq!(
        take_all_credits(&mut granters[1].1, BUCKETS_FULL_AT + ms(5000)),
        0,
        "the other granter still has the whole limit"
    );
    granters[0].1.set_membership(BUCKETS_FULL_AT + ms(5000), membership(both));
    exchange_queries(&mut granters, BUCKETS_FULL_AT + ms(5000));
    assert!(granters.iter().all(|(_, granter)| granter.statistics().is_settled));
    let second_later = BUCKETS_FULL_AT + ms(6000);
    let sum: u32 = granters.iter_mut().map(|(_, granter)| take_all_credits(granter, second_later)).sum();
    assert!(sum > 10, "{sum}");
}

#[test]
fn granters_grant_no_more_than_the_limit_while_memberships_differ() {
    let (three, two) = (&[1, 2, 3], &[1, 2]);
    let mut granters: Vec<(NodeId, QuotaGranter)> = [1, 2, 3].map(|id| (id, granter(id, 1, ms(0), three))).into();
    exchange_queries(&mut granters, ms(0));
    granters.iter_mut().for_each(|(_, granter)| _ = take_all_credits(granter, BUCKETS_FULL_AT));
    // The first granter learns that the third has left; the third still knows the old membership.
    granters[0].1.set_membership(BUCKETS_FULL_AT, membership(two));
    exchange_queries(&mut granters, BUCKETS_FULL_AT);
    let sum: u32 =
        granters.iter_mut().map(|(_, granter)| take_all_credits(granter, BUCKETS_FULL_AT + ms(10_000))).sum();
    assert!(sum <= 200, "{sum}");
}

#[test]
fn a_granter_dropped_from_the_membership_grants_nothing_until_all_agree_again() {
    let both = &[1, 2];
    let mut granters = [(1, granter(1, 1, ms(0), both)), (2, granter(2, 1, ms(0), both))];
    exchange_queries(&mut granters, ms(0));
    assert!(take_all_credits(&mut granters[0].1, BUCKETS_FULL_AT) > 0);
    granters[0].1.handle_membership_loss(BUCKETS_FULL_AT);
    assert_eq!(take_all_credits(&mut granters[0].1, BUCKETS_FULL_AT + ms(5000)), 0);
    exchange_queries(&mut granters, BUCKETS_FULL_AT + ms(5000));
    assert!(take_all_credits(&mut granters[0].1, BUCKETS_FULL_AT + ms(6000)) > 0);
}

#[test]
fn an_answer_to_an_earlier_incarnation_settles_nothing() {
    let both = &[1, 2];
    let mut before = granter(1, 1, ms(0), both);
    let other = granter(2, 1, ms(0), both);
    let (_, query) = before.take_queries(ms(0)).pop().expect("a query to the other granter");
    let reply = other.handle_query(ms(1), &query);
    let mut restarted = granter(1, 2, ms(0), both);
    restarted.handle_reply(ms(2), 2, &reply);
    assert!(!restarted.statistics().is_settled);
}
