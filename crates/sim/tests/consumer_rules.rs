//! Each rule on consumers reports a scenario with a violation and accepts the same scenario without it.

use sim::{KeyHolder, Rules, SeenByInstance, SentRequest};
use std::time::Duration;
use test_case::test_case;

const ADA: &str = "t/ada";
const BOB: &str = "t/bob";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key_holders(pairs: &[(&str, &str)]) -> Vec<KeyHolder> {
    let holder = |(api_key, consumer): &(&str, &str)| KeyHolder {
        api_key: (*api_key).to_owned(),
        consumer: (*consumer).to_owned(),
    };
    pairs.iter().map(holder).collect()
}

/// Returns rules under which Ada holds two keys and Bob one.
fn rules_with_keys() -> Rules {
    let mut rules = Rules::default();
    let keys = key_holders(&[("a1", ADA), ("a2", ADA), ("b1", BOB)]);
    rules.keys_offered(ms(0), &keys);
    rules.keys_acknowledged(ms(10), ms(0), &keys);
    rules
}

fn send(rules: &mut Rules, at: u64, label: &str, api_key: &str) {
    let api_key = (!api_key.is_empty()).then(|| api_key.to_owned());
    rules.sent_by_consumer(label, SentRequest { sent: ms(at), api_key, ..SentRequest::default() });
}

fn send_once(rules: &mut Rules, at: u64, label: &str, api_key: &str, key: &str) {
    let (api_key, operation) = (Some(api_key.to_owned()), Some(key.to_owned()));
    rules.sent_by_consumer(label, SentRequest { sent: ms(at), api_key, operation, is_public: false });
}

fn send_public(rules: &mut Rules, at: u64, label: &str, api_key: &str) {
    let api_key = (!api_key.is_empty()).then(|| api_key.to_owned());
    rules.sent_by_consumer(label, SentRequest { sent: ms(at), api_key, operation: None, is_public: true });
}

fn run(rules: &mut Rules, at: u64, label: &str, consumer: &str) {
    let consumer = (!consumer.is_empty()).then(|| consumer.to_owned());
    rules.ran_for_consumer(ms(at), label, &SeenByInstance { consumer, has_api_key: false });
}

fn instance_told_another_consumer(rules: &mut Rules, is_faulty: bool) {
    send(rules, 5000, "1#1", "a1");
    run(rules, 5001, "1#1", if is_faulty { "bob" } else { "ada" });
}

fn api_key_visible_to_instance(rules: &mut Rules, is_faulty: bool) {
    send(rules, 5000, "1#1", "a1");
    let seen = SeenByInstance { consumer: Some("ada".into()), has_api_key: is_faulty };
    rules.ran_for_consumer(ms(5001), "1#1", &seen);
}

fn instance_not_told_consumer(rules: &mut Rules, is_faulty: bool) {
    send_public(rules, 5000, "1#1", if is_faulty { "a1" } else { "" });
    run(rules, 5001, "1#1", "");
}

fn consumer_for_unknown_key(rules: &mut Rules, is_faulty: bool) {
    send_public(rules, 5000, "1#1", "nobodys");
    run(rules, 5001, "1#1", if is_faulty { "ada" } else { "" });
}

fn runs_with_unknown_key(rules: &mut Rules, is_faulty: bool) {
    send(rules, 5000, "1#1", if is_faulty { "a9" } else { "a1" });
    run(rules, 5001, "1#1", if is_faulty { "" } else { "ada" });
}

fn runs_without_required_key(rules: &mut Rules, is_faulty: bool) {
    if is_faulty {
        send(rules, 5000, "1#1", "")
    } else {
        send_public(rules, 5000, "1#1", "")
    }
    run(rules, 5001, "1#1", "");
}

/// A removed key may be used for three seconds after the acknowledgement of its removal.
fn runs_with_removed_key(rules: &mut Rules, is_faulty: bool) {
    let keys = key_holders(&[("a2", ADA), ("a3", ADA), ("b1", BOB)]);
    rules.keys_offered(ms(9900), &keys);
    rules.keys_acknowledged(ms(10_000), ms(9900), &keys);
    send(rules, if is_faulty { 13_001 } else { 13_000 }, "1#1", "a1");
    run(rules, 13_100, "1#1", "ada");
}

/// The late acknowledgement of an older configuration removes no key that the newer one added.
fn runs_with_removed_key_after_reordered_acknowledgements(rules: &mut Rules, is_faulty: bool) {
    let old = key_holders(&[("a1", ADA), ("a2", ADA), ("b1", BOB)]);
    let new = key_holders(&[("a2", ADA), ("a3", ADA), ("b1", BOB)]);
    rules.keys_offered(ms(9800), &old);
    rules.keys_offered(ms(9900), &new);
    rules.keys_acknowledged(ms(10_000), ms(9900), &new);
    rules.keys_acknowledged(ms(10_100), ms(9800), &old);
    send(rules, 20_000, "1#1", if is_faulty { "a1" } else { "a3" });
    run(rules, 20_001, "1#1", "ada");
}

fn entitled_request_denied(rules: &mut Rules, is_faulty: bool) {
    for n in 0..if is_faulty { 6 } else { 5 } {
        let label = format!("{n}#1");
        send(rules, 5000, &label, "a1");
        rules.denied(ms(5001), &label, 401);
    }
    // Requests with a wrong key or none, or before the first configuration is in force everywhere, may be denied.
    for (label, at, key) in [("90#1", 5000, "a9"), ("91#1", 3010, "a1"), ("92#1", 5000, "")] {
        send(rules, at, label, key);
        rules.denied(ms(5001), label, 401);
    }
}

fn request_to_public_route_denied(rules: &mut Rules, is_faulty: bool) {
    for n in 0..if is_faulty { 6 } else { 5 } {
        let label = format!("{n}#1");
        send_public(rules, 5000, &label, "nobodys");
        rules.denied(ms(5001), &label, 401);
    }
}

fn denied_after_running(rules: &mut Rules, is_faulty: bool) {
    send(rules, 5000, "1#1", "a1");
    send(rules, 5000, "2#1", "a1");
    run(rules, 5001, "1#1", "ada");
    rules.denied(ms(5002), if is_faulty { "1#1" } else { "2#1" }, 401);
}

/// The same idempotency key on another route, under the consumer's other API key.
fn idempotency_key_runs_twice(rules: &mut Rules, is_faulty: bool) {
    send_once(rules, 5000, "1#1", "a1", "order-7");
    run(rules, 5001, "1#1", "ada");
    send_once(rules, 6000, "2#1", "b1", "order-7");
    run(rules, 6001, "2#1", "bob");
    send_once(rules, if is_faulty { 64_999 } else { 65_000 }, "3#1", "a2", "order-7");
    run(rules, 65_001, "3#1", "ada");
}

fn request_with_idempotency_key_runs_twice(rules: &mut Rules, is_faulty: bool) {
    send_once(rules, 5000, "1#1", "a1", "order-7");
    run(rules, 5001, "1#1", "ada");
    if is_faulty {
        run(rules, 5002, "1#1", "ada");
    }
}

fn repeat_gets_another_answer(rules: &mut Rules, is_faulty: bool) {
    send_once(rules, 5000, "1#1", "a1", "order-7");
    run(rules, 5001, "1#1", "ada");
    send_once(rules, 6000, "1#2", "a2", "order-7");
    rules.answered_consumer(ms(6001), "1#2", if is_faulty { b"1#2" } else { b"1#1" });
}

/// Ten requests per second and a burst of five: (50 + 5) * 1.1 + 20 = 80.5 in five seconds.
fn rate_limit_exceeded(rules: &mut Rules, is_faulty: bool) {
    rules.set_limit(ADA, 10.0, 5.0);
    for n in 0..if is_faulty { 81 } else { 80 } {
        let label = format!("{n}#1");
        send(rules, 10_000, &label, "a1");
        run(rules, 10_001 + n * 10, &label, "ada");
        // Second runs of the same request and other consumers' runs don't count.
        run(rules, 10_001 + n * 10, &label, "ada");
        send(rules, 10_000, &format!("bob{n}#1"), "b1");
        run(rules, 10_001 + n * 10, &format!("bob{n}#1"), "bob");
    }
    send(rules, 15_002, "900#1", "a1");
    run(rules, 15_003, "900#1", "ada");
}

/// Ada is served 60 of 60 requests, and Bob 8 of 60, or 20 without the fault. A quarter of the overall share is 8.5.
fn consumer_starved(rules: &mut Rules, is_faulty: bool) {
    for n in 0..60 {
        for (key, served) in [("a1", 60), ("b1", if is_faulty { 8 } else { 20 })] {
            let label = format!("{key}{n}#1");
            send(rules, 5000, &label, key);
            if n < served {
                rules.served_consumer(&label);
            }
        }
    }
    rules.check_fair_service(ms(60_000));
}

#[test_case(instance_told_another_consumer; "instance told another consumer")]
#[test_case(api_key_visible_to_instance; "instance sees the API key")]
#[test_case(instance_not_told_consumer; "instance not told the consumer")]
#[test_case(consumer_for_unknown_key; "consumer named for an unknown key")]
#[test_case(runs_with_unknown_key; "run with a key that no configuration declared")]
#[test_case(runs_without_required_key; "run without a required key")]
#[test_case(runs_with_removed_key; "run with a removed key")]
#[test_case(runs_with_removed_key_after_reordered_acknowledgements; "run with a removed key after reordered acknowledgements")]
#[test_case(entitled_request_denied; "sixth entitled request denied")]
#[test_case(request_to_public_route_denied; "sixth request to a public route denied")]
#[test_case(denied_after_running; "request denied though it ran")]
#[test_case(idempotency_key_runs_twice; "idempotency key runs twice")]
#[test_case(request_with_idempotency_key_runs_twice; "request with an idempotency key runs twice")]
#[test_case(repeat_gets_another_answer; "repeat gets another answer than the first run")]
#[test_case(rate_limit_exceeded; "consumer exceeds its rate")]
#[test_case(consumer_starved; "consumer served less than a quarter of the overall share")]
fn rule_reports_only_the_faulty_scenario(scenario: fn(&mut Rules, bool)) {
    for is_faulty in [false, true] {
        let mut rules = rules_with_keys();
        scenario(&mut rules, is_faulty);
        assert_eq!(!rules.violations.is_empty(), is_faulty, "{:?}", rules.violations);
    }
}
