//! Operations under a key at their owner: one request runs, repeats wait for it or get its answer, and an unknown
//! outcome is answered as unknown.

mod common;

use common::keyed::{
    WINDOW, answers, dispatch_first_request, dispatch_numbers, owner, owner_with, proposals, reply_to_claim,
    report_answer, send_request, send_request_with_key,
};
use common::ms;
use test_case::test_case;
use traffic::{DispatchOutcome, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{ClaimState, Command, CommandReply, LeaseMessage, Outcome, StoredAnswer};

#[test]
fn repeats_wait_for_the_first_request_and_get_its_answer_without_the_registries() {
    let mut owner = owner(true);
    let dispatch = dispatch_first_request(&mut owner);
    let waits = send_request(&mut owner, 20, 8, b"x");
    assert!(proposals(&waits).is_empty() && answers(&waits).is_empty() && dispatch_numbers(&waits).is_empty());
    let answered = report_answer(&mut owner, 50, dispatch);
    let mut all_answers = answers(&answered);
    all_answers.sort_by_key(|answer| answer.0);
    assert_eq!(all_answers, [7, 8].map(|task| (task, Outcome::Answered, 201, 0, b"sword".to_vec())));
    assert!(matches!(proposals(&answered)[..], [(_, Command::RecordAnswer { .. })]), "recorded once");
    owner.step(ms(60), true, OwnerInput::RegistriesReachable { reachable: false });
    let repeat = send_request(&mut owner, 55_000, 9, b"x");
    assert_eq!(answers(&repeat), [(9, Outcome::Answered, 201, 0, b"sword".to_vec())]);
    assert!(proposals(&repeat).is_empty() && dispatch_numbers(&repeat).is_empty());
    assert_eq!(answers(&send_request(&mut owner, 55_000, 10, b"y"))[0].2, 422, "another body under the key");
    let keyed = owner.status()["keyed"].clone();
    assert_eq!((keyed["granted"].as_u64(), keyed["from_memory"].as_u64(), keyed["waited"].as_u64()), {
        (Some(1), Some(1), Some(1))
    });
}

#[test]
fn a_repeat_that_waited_long_enough_is_answered_that_the_operation_is_in_progress() {
    let mut owner = owner(true);
    let dispatch = dispatch_first_request(&mut owner);
    send_request(&mut owner, 20, 8, b"x");
    assert!(answers(&owner.step(ms(400), true, OwnerInput::Tick)).is_empty());
    let refused = answers(&owner.step(ms(440), true, OwnerInput::Tick));
    let [(8, Outcome::Unknown, 409, again, _)] = refused[..] else { panic!("not one refusal with 409: {refused:?}") };
    assert!(again > 0);
    assert_eq!(answers(&report_answer(&mut owner, 500, dispatch)).len(), 1, "it no longer waits");
}

#[test_case(ClaimState::Running, b"", 409; "it runs at another owner")]
#[test_case(ClaimState::Unknown, b"", 504; "its owner is gone")]
#[test_case(ClaimState::OtherBody, b"", 422; "it was another request")]
fn a_claim_reply_answers_all_requests_with_the_key_and_is_not_requested_again(
    state: ClaimState,
    answer: &[u8],
    status: u16,
) {
    let mut owner = owner(true);
    let claims = proposals(&send_request(&mut owner, 2, 7, b"x"));
    send_request(&mut owner, 5, 8, b"x");
    let outputs = reply_to_claim(&mut owner, 10, claims[0].0, state, answer);
    let statuses: Vec<u16> = answers(&outputs).iter().map(|answer| answer.2).collect();
    assert_eq!(statuses, [status, status], "the waiting repeat gets the same status");
    assert!(proposals(&outputs).is_empty() && dispatch_numbers(&outputs).is_empty());
    let later = owner.step(ms(900), true, OwnerInput::Tick);
    assert!(proposals(&later).is_empty(), "the claim is not proposed again");
}

#[test]
fn an_answer_recorded_by_another_owner_is_returned() {
    let mut owner = owner(true);
    let claims = proposals(&send_request(&mut owner, 2, 7, b"x"));
    let answer = StoredAnswer {
        outcome: Outcome::Answered,
        status: 201,
        head: Vec::new().into(),
        body: b"sword".to_vec().into(),
    };
    let outputs = reply_to_claim(&mut owner, 10, claims[0].0, ClaimState::Answered, &wire::to_bytes(&answer));
    assert_eq!(answers(&outputs), [(7, Outcome::Answered, 201, 0, b"sword".to_vec())]);
    assert!(proposals(&send_request(&mut owner, 20, 8, b"x")).is_empty(), "the owner now knows the answer");
}

#[test]
fn an_attempt_without_an_answer_is_recorded_as_unknown_and_answered_so_to_waiting_repeats() {
    let mut owner = owner(true);
    let dispatch = dispatch_first_request(&mut owner);
    send_request(&mut owner, 20, 8, b"x");
    let outcome = DispatchOutcome::InDoubt { detail: "closed".into(), timed_out: false };
    let outputs = owner.step(ms(50), true, OwnerInput::Dispatched { number: dispatch, outcome });
    let mut statuses: Vec<_> = answers(&outputs).into_iter().map(|answer| (answer.0, answer.1, answer.2)).collect();
    statuses.sort_by_key(|answer| answer.0);
    assert_eq!(statuses, [(7, Outcome::Unknown, 504), (8, Outcome::Unknown, 504)]);
    assert!(matches!(proposals(&outputs)[..], [(_, Command::RecordAnswer { .. })]));
    assert!(
        dispatch_numbers(&send_request(&mut owner, 60, 9, b"x")).is_empty(),
        "the key must be claimed before anything is sent"
    );
}

#[test]
fn a_claim_states_how_long_its_key_is_kept_if_the_registries_understand_it() {
    let claims = proposals(&send_request(&mut owner(true), 2, 7, b"x"));
    assert!(matches!(&claims[..], [(_, Command::ClaimForTicks { ticks, .. })] if u64::from(*ticks) > WINDOW.as_secs()));
    let claims = proposals(&send_request(&mut owner(false), 2, 7, b"x"));
    assert!(matches!(&claims[..], [(_, Command::Claim { .. })]));
}

#[test]
fn a_claim_granted_late_and_without_a_lease_is_not_dispatched_but_released() {
    let mut owner = owner(true);
    let claims = proposals(&send_request(&mut owner, 2, 7, b"x"));
    let granted = CommandReply::Claim { state: ClaimState::Granted, answer: Vec::new().into() };
    let message =
        LeaseMessage::ProposalAck { request_id: claims[0].0, state: 1, body: wire::to_bytes(&granted).into() };
    let frozen = owner.step(ms(3000), false, OwnerInput::StoreReply { message });
    assert!(dispatch_numbers(&frozen).is_empty(), "nothing is sent without a valid lease");
    let lapsed = owner.step(ms(3001), false, OwnerInput::MembershipLost);
    assert!(matches!(proposals(&lapsed)[..], [(_, Command::Release { .. })]));
    assert!(dispatch_numbers(&owner.step(ms(3002), true, OwnerInput::Tick)).is_empty());
}

/// The registries handle the release before the claim that it belongs to.
#[test]
fn a_claim_granted_after_its_release_is_released_again() {
    let mut owner = owner(true);
    let claims = proposals(&send_request(&mut owner, 2, 7, b"x"));
    let lapsed = owner.step(ms(10), false, OwnerInput::MembershipLost);
    assert!(proposals(&lapsed).iter().any(|(_, command)| matches!(command, Command::Release { .. })));
    let outputs = reply_to_claim(&mut owner, 20, claims[0].0, ClaimState::Granted, b"");
    assert!(matches!(proposals(&outputs)[..], [(_, Command::Release { .. })]));
    assert!(dispatch_numbers(&outputs).is_empty());
}

/// A request that is refused for its expected wait must not cost the registries a claim.
#[test]
fn no_key_is_claimed_for_a_request_that_would_be_refused() {
    let mut owner = owner(true);
    dispatch_first_request(&mut owner);
    let mut refused = 0;
    for task in 100..400 {
        let outputs = send_request_with_key(&mut owner, 20, task, &format!("k-{task}"), b"x");
        if let [(claim, Command::ClaimForTicks { .. })] = proposals(&outputs)[..] {
            reply_to_claim(&mut owner, 20, claim, ClaimState::Granted, b"");
        } else {
            assert_eq!(answers(&outputs)[0].2, 503);
            refused += 1;
        }
    }
    assert!(refused > 100, "only {refused} were refused");
    assert_eq!(owner.status()["keyed"]["released"].as_u64(), Some(0));
}

#[test]
fn an_answer_too_long_to_be_recorded_is_returned_only_by_its_owner() {
    let settings = OwnerSettings { recorded_answer_bytes: 4, ..OwnerSettings::default() };
    let mut owner = owner_with(settings, false);
    let dispatch = dispatch_first_request(&mut owner);
    let outputs = report_answer(&mut owner, 50, dispatch);
    let [(_, Command::RecordAnswer { answer, .. })] = &proposals(&outputs)[..] else {
        panic!("the end of the operation is not recorded")
    };
    let recorded: StoredAnswer = wire::from_bytes(answer.as_slice()).expect("an answer");
    assert_eq!((recorded.outcome, recorded.status), (Outcome::Unknown, 504));
    assert_eq!(answers(&send_request(&mut owner, 60, 8, b"x"))[0].4, b"sword");
}

fn in_doubt(owner: &mut FunctionOwner, at: u64, may_serve: bool, number: u64) -> Vec<OwnerOutput> {
    let outcome = DispatchOutcome::InDoubt { detail: "closed".into(), timed_out: false };
    owner.step(ms(at), may_serve, OwnerInput::Dispatched { number, outcome })
}

#[test]
fn an_attempt_in_doubt_is_repeated_if_instances_recognize_keys() {
    let mut owner = owner_with(OwnerSettings::default(), true);
    let first = dispatch_first_request(&mut owner);
    let again = dispatch_numbers(&in_doubt(&mut owner, 50, true, first));
    let [second] = again[..] else { panic!("not one more dispatch: {again:?}") };
    let answered = report_answer(&mut owner, 90, second);
    assert_eq!(answers(&answered), [(7, Outcome::Answered, 201, 0, b"sword".to_vec())]);
}

#[test]
fn an_attempt_in_doubt_is_never_released() {
    let mut owner = owner_with(OwnerSettings::default(), true);
    let mut dispatch = dispatch_first_request(&mut owner);
    let mut all = Vec::new();
    for at in [50, 100, 150, 200, 250] {
        let outputs = in_doubt(&mut owner, at, true, dispatch);
        dispatch = dispatch_numbers(&outputs).first().copied().unwrap_or_default();
        all.extend(outputs);
    }
    all.extend(owner.step(ms(260), false, OwnerInput::MembershipLost));
    assert_eq!(answers(&all).iter().map(|answer| answer.2).collect::<Vec<_>>(), [504]);
    assert!(
        matches!(proposals(&all)[..], [(_, Command::RecordAnswer { .. })]),
        "recorded as ended, so that it is not run again"
    );
}

#[test]
fn a_request_waiting_for_its_next_attempt_when_the_lease_lapses_is_recorded_as_unknown() {
    let mut owner = owner_with(OwnerSettings::default(), true);
    let dispatch = dispatch_first_request(&mut owner);
    let held = in_doubt(&mut owner, 50, false, dispatch);
    assert!(dispatch_numbers(&held).is_empty() && answers(&held).is_empty());
    let lapsed = owner.step(ms(60), false, OwnerInput::MembershipLost);
    assert_eq!(
        answers(&lapsed).iter().map(|answer| (answer.1, answer.2)).collect::<Vec<_>>(),
        [(Outcome::Unknown, 504)]
    );
    assert!(matches!(proposals(&lapsed)[..], [(_, Command::RecordAnswer { .. })]));
}
