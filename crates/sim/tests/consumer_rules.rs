//! Each of the checks on consumers catches a fault planted for it, and passes what is right.

use sim::{KeyHolder, Rules, SeenByInstance, SentRequest};
use std::time::Duration;
use test_case::test_case;

const ADA: &str = "t/ada";
const BOB: &str = "t/bob";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn held(pairs: &[(&str, &str)]) -> Vec<KeyHolder> {
    let holder = |(api_key, consumer): &(&str, &str)| KeyHolder {
        api_key: (*api_key).to_owned(),
        consumer: (*consumer).to_owned(),
    };
    pairs.iter().map(holder).collect()
}

/// Ada holds two keys and Bob one from the beginning.
fn founded() -> Rules {
    let mut rules = Rules::default();
    let keys = held(&[("a1", ADA), ("a2", ADA), ("b1", BOB)]);
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

fn anothers_name(rules: &mut Rules, planted: bool) {
    send(rules, 5000, "1#1", "a1");
    run(rules, 5001, "1#1", if planted { "bob" } else { "ada" });
}

fn key_shown(rules: &mut Rules, planted: bool) {
    send(rules, 5000, "1#1", "a1");
    let seen = SeenByInstance { consumer: Some("ada".into()), has_api_key: planted };
    rules.ran_for_consumer(ms(5001), "1#1", &seen);
}

fn name_left_out(rules: &mut Rules, planted: bool) {
    send_public(rules, 5000, "1#1", if planted { "a1" } else { "" });
    run(rules, 5001, "1#1", "");
}

fn name_given_by_nobodys_key(rules: &mut Rules, planted: bool) {
    send_public(rules, 5000, "1#1", "nobodys");
    run(rules, 5001, "1#1", if planted { "ada" } else { "" });
}

fn key_never_held(rules: &mut Rules, planted: bool) {
    send(rules, 5000, "1#1", if planted { "a9" } else { "a1" });
    run(rules, 5001, "1#1", if planted { "" } else { "ada" });
}

fn no_key_where_one_is_asked_for(rules: &mut Rules, planted: bool) {
    if planted {
        send(rules, 5000, "1#1", "")
    } else {
        send_public(rules, 5000, "1#1", "")
    }
    run(rules, 5001, "1#1", "");
}

/// A key taken away is good for three seconds after the acknowledgement.
fn removed_key(rules: &mut Rules, planted: bool) {
    let keys = held(&[("a2", ADA), ("a3", ADA), ("b1", BOB)]);
    rules.keys_offered(ms(9900), &keys);
    rules.keys_acknowledged(ms(10_000), ms(9900), &keys);
    send(rules, if planted { 13_001 } else { 13_000 }, "1#1", "a1");
    run(rules, 13_100, "1#1", "ada");
}

/// What the version before said is acknowledged late, and takes nothing away that the newer one brought.
fn removed_key_despite_a_late_acknowledgement(rules: &mut Rules, planted: bool) {
    let old = held(&[("a1", ADA), ("a2", ADA), ("b1", BOB)]);
    let new = held(&[("a2", ADA), ("a3", ADA), ("b1", BOB)]);
    rules.keys_offered(ms(9800), &old);
    rules.keys_offered(ms(9900), &new);
    rules.keys_acknowledged(ms(10_000), ms(9900), &new);
    rules.keys_acknowledged(ms(10_100), ms(9800), &old);
    send(rules, 20_000, "1#1", if planted { "a1" } else { "a3" });
    run(rules, 20_001, "1#1", "ada");
}

fn denied_though_proper(rules: &mut Rules, planted: bool) {
    for n in 0..if planted { 6 } else { 5 } {
        let label = format!("{n}#1");
        send(rules, 5000, &label, "a1");
        rules.denied(ms(5001), &label, 401);
    }
    // With the wrong key, and before the first version was in force everywhere, nothing is owed.
    for (label, at, key) in [("90#1", 5000, "a9"), ("91#1", 3010, "a1"), ("92#1", 5000, "")] {
        send(rules, at, label, key);
        rules.denied(ms(5001), label, 401);
    }
}

fn denied_on_a_public_route(rules: &mut Rules, planted: bool) {
    for n in 0..if planted { 6 } else { 5 } {
        let label = format!("{n}#1");
        send_public(rules, 5000, &label, "nobodys");
        rules.denied(ms(5001), &label, 401);
    }
}

fn denied_after_it_ran(rules: &mut Rules, planted: bool) {
    send(rules, 5000, "1#1", "a1");
    send(rules, 5000, "2#1", "a1");
    run(rules, 5001, "1#1", "ada");
    rules.denied(ms(5002), if planted { "1#1" } else { "2#1" }, 401);
}

/// The same key on another route, under the consumer's other API key.
fn key_runs_twice(rules: &mut Rules, planted: bool) {
    send_once(rules, 5000, "1#1", "a1", "order-7");
    run(rules, 5001, "1#1", "ada");
    send_once(rules, 6000, "2#1", "b1", "order-7");
    run(rules, 6001, "2#1", "bob");
    send_once(rules, if planted { 64_999 } else { 65_000 }, "3#1", "a2", "order-7");
    run(rules, 65_001, "3#1", "ada");
}

fn key_runs_twice_in_one_request(rules: &mut Rules, planted: bool) {
    send_once(rules, 5000, "1#1", "a1", "order-7");
    run(rules, 5001, "1#1", "ada");
    if planted {
        run(rules, 5002, "1#1", "ada");
    }
}

fn repeat_answered_otherwise(rules: &mut Rules, planted: bool) {
    send_once(rules, 5000, "1#1", "a1", "order-7");
    run(rules, 5001, "1#1", "ada");
    send_once(rules, 6000, "1#2", "a2", "order-7");
    rules.answered_consumer(ms(6001), "1#2", if planted { b"1#2" } else { b"1#1" });
}

/// Ten a second and five at once: (50 + 5) * 1.1 + 20 = 80.5 in five seconds.
fn beyond_the_rate(rules: &mut Rules, planted: bool) {
    rules.set_limit(ADA, 10.0, 5.0);
    for n in 0..if planted { 81 } else { 80 } {
        let label = format!("{n}#1");
        send(rules, 10_000, &label, "a1");
        run(rules, 10_001 + n * 10, &label, "ada");
        // A second try of the same request, and what others run, count for nothing.
        run(rules, 10_001 + n * 10, &label, "ada");
        send(rules, 10_000, &format!("bob{n}#1"), "b1");
        run(rules, 10_001 + n * 10, &format!("bob{n}#1"), "bob");
    }
    send(rules, 15_002, "900#1", "a1");
    run(rules, 15_003, "900#1", "ada");
}

/// Ada is served 60 times of 60, Bob 8 times of 60, where a quarter of the share of all is 8.5, or 20 times.
fn starved(rules: &mut Rules, planted: bool) {
    for n in 0..60 {
        for (key, most) in [("a1", 60), ("b1", if planted { 8 } else { 20 })] {
            let label = format!("{key}{n}#1");
            send(rules, 5000, &label, key);
            if n < most {
                rules.served_consumer(&label);
            }
        }
    }
    rules.check_fair_service(ms(60_000));
}

#[test_case(anothers_name; "an instance is told another consumer")]
#[test_case(key_shown; "an instance is shown the key")]
#[test_case(name_left_out; "an instance is not told the consumer")]
#[test_case(name_given_by_nobodys_key; "nobodys key becomes a consumer")]
#[test_case(key_never_held; "a key that no configuration held")]
#[test_case(no_key_where_one_is_asked_for; "no key where one is asked for")]
#[test_case(removed_key; "a key that was taken away")]
#[test_case(removed_key_despite_a_late_acknowledgement; "a key that was taken away, acknowledged out of order")]
#[test_case(denied_though_proper; "a sixth proper request denied")]
#[test_case(denied_on_a_public_route; "a sixth request denied on a public route")]
#[test_case(denied_after_it_ran; "a request denied though it ran")]
#[test_case(key_runs_twice; "a key that runs twice")]
#[test_case(key_runs_twice_in_one_request; "a request with a key that runs twice")]
#[test_case(repeat_answered_otherwise; "a repeat with another answer than the first")]
#[test_case(beyond_the_rate; "a consumer beyond its rate")]
#[test_case(starved; "a consumer served less than a quarter as often as all")]
fn a_planted_fault_is_caught_and_its_absence_is_not(plant: fn(&mut Rules, bool)) {
    for planted in [false, true] {
        let mut rules = founded();
        plant(&mut rules, planted);
        assert_eq!(!rules.violations.is_empty(), planted, "{:?}", rules.violations);
    }
}
