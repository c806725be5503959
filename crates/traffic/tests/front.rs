//! The front's and the owner's promises that a failure once broke.

mod common;

use common::{ME, OTHER, forward, front, membership, ms, reply, routes, send_request};
use traffic::{FrontInput, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{ForwardMessage, Outcome};

fn answer(task: u64, outcome: Outcome, status: u16) -> FrontInput {
    let (head, body) = (Vec::new().into(), b"theirs".to_vec().into());
    FrontInput::Forwarded {
        from: OTHER,
        message: ForwardMessage::AnswerInSeconds { task, outcome, status, retry_after: 1, head, body },
    }
}

#[test]
fn an_answer_to_the_incarnation_before_finds_no_task() {
    let (old, _) = forward(&send_request(&mut front(1, OTHER), 5, true, "/t/f"));
    let mut next = front(2, OTHER);
    let (new, _) = forward(&send_request(&mut next, 5, true, "/t/f"));
    assert_ne!(old, new);
    assert!(next.step(ms(9), true, answer(old, Outcome::Answered, 200)).is_empty());
    assert_eq!(reply(&next.step(ms(9), true, answer(new, Outcome::Answered, 200))).map(|r| r.status), Some(200));
}

#[test]
fn a_task_whose_owner_was_lost_is_never_called_not_run() {
    let mut front = front(1, OTHER);
    send_request(&mut front, 5, true, "/t/f");
    front.step(ms(20), true, FrontInput::Link { id: OTHER, up: false });
    let again = front.step(ms(40), true, FrontInput::Link { id: OTHER, up: true });
    assert!(again.is_empty());
    let (task, message) = forward(&front.step(ms(60), true, FrontInput::Tick));
    assert!(matches!(message, ForwardMessage::Forward { request } if request.resends == 1));
    let reported = front.step(ms(70), true, answer(task, Outcome::NotRun, 503));
    assert_eq!(reply(&reported).map(|r| (r.outcome, r.status)), Some((Some(Outcome::Unknown), 504)));
}

#[test]
fn without_a_proof_tasks_wait_and_are_given_up_with_a_time_to_come_back() {
    let mut front = front(1, OTHER);
    assert!(send_request(&mut front, 0, false, "/t/f").is_empty());
    assert!(front.step(ms(3000), false, FrontInput::Tick).is_empty());
    let reported = front.step(ms(3900), false, FrontInput::Tick);
    let reply = reply(&reported).expect("given up before the deadline");
    assert_eq!((reply.outcome, reply.status, reply.retry_after > ms(0)), (Some(Outcome::NotRun), 503, true));
    assert_eq!(reply_status(&send_request(&mut front, 4000, true, "/nowhere")), 404);
}

fn reply_status(outputs: &[FrontOutput]) -> u16 {
    reply(outputs).map_or(0, |reply| reply.status)
}

#[test]
fn an_owner_lets_a_forward_in_once_however_often_it_comes() {
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
    assert_eq!(owner.depths().0, 0, "let in again after its answer");
}

#[test]
fn a_task_that_cannot_be_served_in_time_is_refused_at_once_not_near_its_deadline() {
    use instance_provider::{ProviderReport, StartReply};
    use traffic::DispatchOutcome;
    let mut owner = FunctionOwner::new(OTHER, 1, OwnerSettings::default());
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"ordinary","max":1}"#;
    let one = bindings::RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: std::rc::Rc::new(one) });
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
        let done = running.iter().position(|(_, due)| at >= *due).map(|place| running.remove(place));
        if let Some((number, _)) = done {
            let outcome =
                DispatchOutcome::Complete { status: 200, head: Vec::new(), body: Vec::new(), turned_away: false };
            inputs.push(OwnerInput::Dispatched { number, outcome });
        }
        for output in inputs.into_iter().flat_map(|input| owner.step(ms(at), true, input)).collect::<Vec<_>>() {
            if let OwnerOutput::Forward { message, .. } = &output {
                front.step(ms(at), true, FrontInput::Forwarded { from: OTHER, message: message.clone() });
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
    // One instance, one task at a time, half a second each, fifty tasks a second: once an answer has
    // taken its time, about seven are worth holding, the others are told so as they come.
    assert!(owner.depths().0 < 16, "{} are held", owner.depths().0);
    assert!(refused.len() > 200 && refused.iter().all(|(_, again)| *again >= 250));
    let early = refused.iter().filter(|(at, _)| *at < 5500).count();
    assert!(early > 80, "only {early} were refused before the first deadline");
}

/// A key in work is told so, unless it may be this very request that an owner was lost with.
#[test]
fn a_key_in_work_is_told_as_it_is() {
    for (lost, status) in [(false, 409), (true, 504)] {
        let mut front = front(1, OTHER);
        let (mut task, _) = forward(&send_request(&mut front, 5, true, "/t/f"));
        if lost {
            front.step(ms(20), true, FrontInput::Link { id: OTHER, up: false });
            front.step(ms(40), true, FrontInput::Link { id: OTHER, up: true });
            task = forward(&front.step(ms(60), true, FrontInput::Tick)).0;
        }
        let reported = front.step(ms(70), true, answer(task, Outcome::Unknown, 409));
        let reply = reply(&reported).expect("told");
        assert_eq!((reply.outcome, reply.status), (Some(Outcome::Unknown), status));
        assert!(!reply.retry_after.is_zero());
    }
}
