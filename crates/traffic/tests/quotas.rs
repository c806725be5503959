//! Limits of consumers at the front: who is over is refused early, what did not run counts no more, and routers tell
//! each other what they counted.

mod common;

use bindings::RouteTable;
use common::{ME, OTHER, membership, ms, reply};
use std::rc::Rc;
use traffic::{Call, Front, FrontInput, FrontLimits, FrontOutput};
use wire::{Blob, ForwardMessage, Outcome, QuotaReport, QuotaTotal, QuotaTotals, RequestHead};

fn routes(consumer: &str) -> Rc<RouteTable> {
    let pairs: [(&str, &[u8]); 2] = [
        ("function-bindings/t/f", br#"{"route":"/t/f","function":"f","class":"ordinary"}"#),
        ("consumers/t/ada", consumer.as_bytes()),
    ];
    Rc::new(RouteTable::build(1, 1, pairs.into_iter()))
}

/// One whose requests are owned, and whose counts are added up, by another.
fn front(consumer: &str) -> Front {
    let mut front = Front::new(ME, 1, FrontLimits::default());
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[OTHER]) });
    front.step(ms(0), true, FrontInput::Link { id: OTHER, up: true });
    front.step(ms(0), true, FrontInput::RouteTable { routes: routes(consumer) });
    front
}

fn ask(front: &mut Front, request_id: u64, at: u64) -> Vec<FrontOutput> {
    let head = RequestHead { method: "GET".into(), target: "/t/f".into(), headers: Vec::new().into() };
    let call = Call {
        host: String::new(),
        path: "/t/f".into(),
        deadline: None,
        head,
        body: Vec::new(),
        key: None,
        api_key: Some("k-1".into()),
        respond_async: false,
    };
    front.step(ms(at), true, FrontInput::Task { request_id, call })
}

fn told(front: &mut Front, at: u64, message: ForwardMessage) -> Vec<FrontOutput> {
    front.step(ms(at), true, FrontInput::Forwarded { from: OTHER, message })
}

/// The next report, with when it was sent.
fn report(front: &mut Front, from: u64) -> (u64, QuotaReport) {
    let find = |outputs: Vec<FrontOutput>| {
        outputs.into_iter().find_map(|output| match output {
            FrontOutput::Forward { to: OTHER, message: ForwardMessage::QuotaReport { report } } => Some(report),
            _ => None,
        })
    };
    let reported = (0..100).find_map(|step| {
        let at = from + step * 20;
        find(front.step(ms(at), true, FrontInput::Tick)).map(|report| (at, report))
    });
    reported.expect("it reports at least as often as it says that it is there")
}

fn forward_of(outputs: &[FrontOutput]) -> u64 {
    let forwarded = outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message, .. } => message.clone().into_forwarded(),
        FrontOutput::Reply { .. } => None,
    });
    forwarded.expect("it is forwarded").0.task
}

const LIMITED: &str = r#"{"keys":["k-1"],"rate_per_s":10.0,"burst":2.0}"#;

#[test]
fn one_over_its_limit_is_refused_before_any_work() {
    let mut front = front(LIMITED);
    forward_of(&ask(&mut front, 1, 1));
    let (at, report) = report(&mut front, 2);
    assert_eq!(report.counts.iter().map(|count| (count.admitted, count.arrived)).collect::<Vec<_>>(), [(1, 1)]);
    let consumer = report.counts.as_slice()[0].consumer;
    let over = QuotaTotal { consumer, level_centi: -5000, demand_centi: 100_000 };
    let totals = QuotaTotals { number: report.number, totals: vec![over].into() };
    assert!(told(&mut front, at, ForwardMessage::QuotaTotals { totals }).is_empty());
    let outputs = ask(&mut front, 2, at + 1);
    assert_eq!(outputs.len(), 1, "nothing is forwarded: {outputs:?}");
    let reply = reply(&outputs).expect("an answer at once");
    assert_eq!((reply.status, reply.outcome), (429, Some(Outcome::NotRun)));
    assert!(reply.retry_after >= ms(500), "{reply:?}");
    assert_eq!(front.quota_status(ms(at + 1))["refused_over_limit"], 1);
}

#[test]
fn what_did_not_run_counts_no_more() {
    let mut front = front(LIMITED);
    let task = forward_of(&ask(&mut front, 1, 1));
    let (head, body) = (Blob::default(), Blob::default());
    let refused =
        ForwardMessage::Answer { task, outcome: Outcome::NotRun, status: 503, retry_after_ms: 100, head, body };
    told(&mut front, 2, refused);
    let task = forward_of(&ask(&mut front, 2, 3));
    let (head, body) = (Blob::default(), Blob::default());
    let ran = ForwardMessage::Answer { task, outcome: Outcome::Answered, status: 200, retry_after_ms: 0, head, body };
    told(&mut front, 4, ran);
    let (_, report) = report(&mut front, 5);
    let counts: Vec<_> = report.counts.iter().map(|count| (count.admitted, count.refunded)).collect();
    assert_eq!(counts, [(2, 1)]);
}

#[test]
fn a_request_whose_caller_left_before_it_was_forwarded_counts_no_more() {
    let mut front = front(LIMITED);
    front.step(ms(1), true, FrontInput::Link { id: OTHER, up: false });
    ask(&mut front, 1, 2);
    front.step(ms(3), true, FrontInput::Gone { request_id: 1 });
    let (_, report) = report(&mut front, 4);
    let counts: Vec<_> = report.counts.iter().map(|count| (count.admitted, count.refunded)).collect();
    assert_eq!(counts, [(1, 1)]);
}

#[test]
fn one_without_a_limit_is_neither_counted_nor_reported() {
    let mut front = front(r#"{"keys":["k-1"]}"#);
    for n in 1..200 {
        forward_of(&ask(&mut front, n, n));
    }
    let outputs: Vec<FrontOutput> =
        (0..100).flat_map(|step| front.step(ms(200 + step * 20), true, FrontInput::Tick)).collect();
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, FrontOutput::Forward { message: ForwardMessage::QuotaReport { .. }, .. }))
    );
}

#[test]
fn a_report_is_answered_with_where_its_consumers_stand() {
    let mut reporter = front(LIMITED);
    forward_of(&ask(&mut reporter, 1, 1));
    let (at, report) = report(&mut reporter, 2);
    let mut aggregator = front(LIMITED);
    let outputs = told(&mut aggregator, at, ForwardMessage::QuotaReport { report: report.clone() });
    let [FrontOutput::Forward { to: OTHER, message: ForwardMessage::QuotaTotals { totals } }] = outputs.as_slice()
    else {
        panic!("not one answer: {outputs:?}")
    };
    assert_eq!(totals.number, report.number);
    assert_eq!(
        totals.totals.iter().map(|total| total.consumer).collect::<Vec<_>>(),
        [report.counts.as_slice()[0].consumer]
    );
    assert_eq!(aggregator.quota_status(ms(at))["merges"], 1);
}
