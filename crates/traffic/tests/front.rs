//! Guarantees of the front and the owner that earlier versions broke.

mod common;

use common::{ME, OTHER, forward, front, membership, ms, reply, routes, send_request};
use traffic::{FrontInput, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{ForwardMessage, Outcome};

fn answer(task: u64, outcome: Outcome, status: u16) -> FrontInput {
    let (head, body) = (Vec::new().into(), b"theirs".to_vec().into());
    FrontInput::Message {
        from: OTHER,
        message: ForwardMessage::AnswerInSeconds { task, outcome, status, retry_after: 1, head, body },
    }
}

#[test]
fn an_answer_to_an_earlier_incarnation_is_ignored() {
    let (old, _) = forward(&send_request(&mut front(1, OTHER), 5, true, "/t/f"));
    let mut next = front(2, OTHER);
    let (new, _) = forward(&send_request(&mut next, 5, true, "/t/f"));
    assert_ne!(old, new);
    assert!(next.step(ms(9), true, answer(old, Outcome::Answered, 200)).is_empty());
    assert_eq!(reply(&next.step(ms(9), true, answer(new, Outcome::Answered, 200))).map(|r| r.status), Some(200));
}

#[test]
fn a_request_whose_owner_was_lost_is_never_answered_as_not_run() {
    let mut front = front(1, OTHER);
    send_request(&mut front, 5, true, "/t/f");
    front.step(ms(20), true, FrontInput::Link { id: OTHER, up: false });
    let outputs = front.step(ms(40), true, FrontInput::Link { id: OTHER, up: true });
    assert!(outputs.is_empty());
    let (task, message) = forward(&front.step(ms(60), true, FrontInput::Tick));
    assert!(matches!(message, ForwardMessage::Forward { request } if request.resends == 1));
    let outputs = front.step(ms(70), true, answer(task, Outcome::NotRun, 503));
    assert_eq!(reply(&outputs).map(|r| (r.outcome, r.status)), Some((Some(Outcome::Unknown), 504)));
}

#[test]
fn without_a_lease_requests_wait_and_are_refused_before_their_deadline_with_retry_after() {
    let mut front = front(1, OTHER);
    assert!(send_request(&mut front, 0, false, "/t/f").is_empty());
    assert!(front.step(ms(3000), false, FrontInput::Tick).is_empty());
    let outputs = front.step(ms(3900), false, FrontInput::Tick);
    let reply = reply(&outputs).expect("it is refused before the deadline");
    assert_eq!((reply.outcome, reply.status, reply.retry_after > ms(0)), (Some(Outcome::NotRun), 503, true));
    assert_eq!(reply_status(&send_request(&mut front, 4000, true, "/nowhere")), 404);
}

fn reply_status(outputs: &[FrontOutput]) -> u16 {
    reply(outputs).map_or(0, |reply| reply.status)
}

#[test]
fn an_owner_accepts_a_repeated_forward_only_once() {
    let mut owner = FunctionOwner::new(OTHER, 1, OwnerSettings::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: routes() });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[OTHER]) });
    let (_, message) = forward(&send_request(&mut front(1, OTHER), 5, true, "/t/f"));
    owner.step(ms(6), true, OwnerInput::Forward { from: ME, message: message.clone() });
    owner.step(ms(7), true, OwnerInput::Forward { from: ME, message: message.clone() });
    assert_eq!(owner.depths().0, 1);
    let mut refused = 0;
    for at in (0..5000).step_by(50) {
        let outputs = owner.step(ms(at + 10), true, OwnerInput::Tick);
        refused += outputs
            .iter()
            .filter(|o| matches!(o, OwnerOutput::Forward { message: ForwardMessage::Answer { .. }, .. }))
            .count();
    }
    assert_eq!((refused, owner.depths().0), (1, 0));
    owner.step(ms(5100), true, OwnerInput::Forward { from: ME, message });
    assert_eq!(owner.depths().0, 0, "the request is accepted again after its answer");
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_on_arrival() {
    use instance_provider::{ProviderReport, StartReply};
    use traffic::DispatchOutcome;
    let mut owner = FunctionOwner::new(OTHER, 1, OwnerSettings::default());
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"ordinary","max":1}"#;
    let routes = bindings::RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: std::rc::Rc::new(routes) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[OTHER]) });
    let mut front = front(1, OTHER);
    let (mut running, mut refused, mut instance) = (Vec::new(), Vec::new(), None);
    for at in (0..9000u64).step_by(10) {
        let mut inputs = vec![OwnerInput::Tick];
        if at > 2000 && at % 20 == 0 {
            let (_, message) = forward(&send_request(&mut front, at, true, "/t/f"));
            inputs.push(OwnerInput::Forward { from: ME, message });
        }
        let report = |report| OwnerInput::ProviderReport { report, listed_at: ms(at) };
        if let Some(nonce) = instance.take() {
            let start_reply = StartReply::Accepted { id: "i1".into(), address: "10.9.9.9:1".into() };
            inputs.push(report(ProviderReport::Started { nonce, reply: start_reply }));
            inputs.push(OwnerInput::Probed { id: "i1".into(), ready: true });
        }
        let done = running.iter().position(|(_, due)| at >= *due).map(|index| running.remove(index));
        if let Some((number, _)) = done {
            let outcome = DispatchOutcome::Complete {
                status: 200,
                head: Vec::new(),
                body: Vec::new().into(),
                turned_away: false,
            };
            inputs.push(OwnerInput::Dispatched { number, outcome });
        }
        for output in inputs.into_iter().flat_map(|input| owner.step(ms(at), true, input)).collect::<Vec<_>>() {
            if let OwnerOutput::Forward { message, .. } = &output {
                front.step(ms(at), true, FrontInput::Message { from: OTHER, message: message.clone() });
            }
            match output {
                OwnerOutput::Dispatch(order) => running.push((order.number, at + 500)),
                OwnerOutput::ProviderOrder(instance_provider::ProviderOrder::Start(order)) => {
                    instance = Some(order.nonce)
                }
                OwnerOutput::Forward {
                    message: ForwardMessage::Answer { outcome: Outcome::NotRun, retry_after_ms, .. },
                    ..
                } => {
                    refused.push((at, retry_after_ms));
                }
                _ => {}
            }
        }
    }
    // One instance runs one request at a time for half a second, and fifty requests arrive each second. Once the first
    // answer has shown how long a request takes, about seven are worth queueing; the others are refused on arrival.
    assert!(owner.depths().0 < 16, "{} requests are queued", owner.depths().0);
    assert!(refused.len() > 200 && refused.iter().all(|(_, retry_after_ms)| *retry_after_ms >= 250));
    let early_refusals = refused.iter().filter(|(at, _)| *at < 5500).count();
    assert!(early_refusals > 80, "only {early_refusals} requests were refused before the first deadline");
}

/// A conflict with an operation in progress is reported, unless that operation may be this same request, which an owner
/// was lost with.
#[test]
fn a_key_in_progress_is_reported_unless_the_operation_may_be_this_request() {
    for (lost, status) in [(false, 409), (true, 504)] {
        let mut front = front(1, OTHER);
        let (mut task, _) = forward(&send_request(&mut front, 5, true, "/t/f"));
        if lost {
            front.step(ms(20), true, FrontInput::Link { id: OTHER, up: false });
            front.step(ms(40), true, FrontInput::Link { id: OTHER, up: true });
            task = forward(&front.step(ms(60), true, FrontInput::Tick)).0;
        }
        let outputs = front.step(ms(70), true, answer(task, Outcome::Unknown, 409));
        let reply = reply(&outputs).expect("it is answered");
        assert_eq!((reply.outcome, reply.status), (Some(Outcome::Unknown), status));
        assert!(!reply.retry_after.is_zero());
    }
}
