//! Operations under a key at their owner: one runs, repeats wait for it or get its answer, and what cannot be known is
//! said so.

mod common;

use common::keyed::{
    WINDOW, ask, ask_under, claim_answered, complete, first_is_sent, owner, owner_with, proposals, sent, told,
};
use common::ms;
use test_case::test_case;
use traffic::{DispatchOutcome, FunctionOwner, OwnerInput, OwnerOutput, OwnerTiming};
use wire::{ClaimState, Command, CommandReply, LeaseMessage, Outcome, StoredAnswer};

#[test]
fn repeats_wait_for_the_first_and_get_its_answer_without_asking_the_registries() {
    let mut owner = owner(true);
    let dispatch = first_is_sent(&mut owner);
    let waits = ask(&mut owner, 20, 8, b"x");
    assert!(proposals(&waits).is_empty() && told(&waits).is_empty() && sent(&waits).is_empty());
    let answered = complete(&mut owner, 50, dispatch);
    let mut told_all = told(&answered);
    told_all.sort_by_key(|told| told.0);
    assert_eq!(told_all, [7, 8].map(|task| (task, Outcome::Answered, 201, 0, b"sword".to_vec())));
    assert!(matches!(proposals(&answered)[..], [(_, Command::RecordAnswer { .. })]), "recorded once");
    owner.step(ms(60), true, OwnerInput::Core { near: false });
    let repeat = ask(&mut owner, 55_000, 9, b"x");
    assert_eq!(told(&repeat), [(9, Outcome::Answered, 201, 0, b"sword".to_vec())]);
    assert!(proposals(&repeat).is_empty() && sent(&repeat).is_empty());
    assert_eq!(told(&ask(&mut owner, 55_000, 10, b"y"))[0].2, 422, "another body under the key");
    let keyed = owner.status()["keyed"].clone();
    assert_eq!((keyed["granted"].as_u64(), keyed["from_memory"].as_u64(), keyed["waited"].as_u64()), {
        (Some(1), Some(1), Some(1))
    });
}

#[test]
fn a_repeat_that_waited_long_enough_is_told_that_the_key_is_in_work() {
    let mut owner = owner(true);
    let dispatch = first_is_sent(&mut owner);
    ask(&mut owner, 20, 8, b"x");
    assert!(told(&owner.step(ms(400), true, OwnerInput::Tick)).is_empty());
    let refused = told(&owner.step(ms(440), true, OwnerInput::Tick));
    let [(8, Outcome::Unknown, 409, again, _)] = refused[..] else { panic!("in work: {refused:?}") };
    assert!(again > 0);
    assert_eq!(told(&complete(&mut owner, 500, dispatch)).len(), 1, "it no longer waits");
}

#[test_case(ClaimState::Running, b"", 409; "it runs at another owner")]
#[test_case(ClaimState::Unknown, b"", 504; "its owner is gone")]
#[test_case(ClaimState::OtherBody, b"", 422; "it was another request")]
fn what_the_registries_say_of_a_key_is_told_and_asked_once(state: ClaimState, answer: &[u8], status: u16) {
    let mut owner = owner(true);
    let claims = proposals(&ask(&mut owner, 2, 7, b"x"));
    ask(&mut owner, 5, 8, b"x");
    let outputs = claim_answered(&mut owner, 10, claims[0].0, state, answer);
    let statuses: Vec<u16> = told(&outputs).iter().map(|told| told.2).collect();
    assert_eq!(statuses, [status, status], "whoever waited is told the same");
    assert!(proposals(&outputs).is_empty() && sent(&outputs).is_empty());
    let later = owner.step(ms(900), true, OwnerInput::Tick);
    assert!(proposals(&later).is_empty(), "it is not asked again and again");
}

#[test]
fn an_answer_that_another_owner_recorded_is_given_again() {
    let mut owner = owner(true);
    let claims = proposals(&ask(&mut owner, 2, 7, b"x"));
    let answer = StoredAnswer {
        outcome: Outcome::Answered,
        status: 201,
        head: Vec::new().into(),
        body: b"sword".to_vec().into(),
    };
    let outputs = claim_answered(&mut owner, 10, claims[0].0, ClaimState::Answered, &wire::to_bytes(&answer));
    assert_eq!(told(&outputs), [(7, Outcome::Answered, 201, 0, b"sword".to_vec())]);
    assert!(proposals(&ask(&mut owner, 20, 8, b"x")).is_empty(), "and is known here from then on");
}

#[test]
fn an_attempt_without_an_answer_is_recorded_so_and_whoever_waited_hears_it() {
    let mut owner = owner(true);
    let dispatch = first_is_sent(&mut owner);
    ask(&mut owner, 20, 8, b"x");
    let outcome = DispatchOutcome::InDoubt { detail: "closed".into(), timed_out: false };
    let outputs = owner.step(ms(50), true, OwnerInput::Dispatched { number: dispatch, outcome });
    let mut statuses: Vec<_> = told(&outputs).into_iter().map(|told| (told.0, told.1, told.2)).collect();
    statuses.sort_by_key(|told| told.0);
    assert_eq!(statuses, [(7, Outcome::Unknown, 504), (8, Outcome::Unknown, 504)]);
    assert!(matches!(proposals(&outputs)[..], [(_, Command::RecordAnswer { .. })]));
    assert!(sent(&ask(&mut owner, 60, 9, b"x")).is_empty(), "the registries are asked before anything is sent");
}

#[test]
fn a_claim_says_how_long_its_key_is_kept_where_the_registries_understand_it() {
    let claims = proposals(&ask(&mut owner(true), 2, 7, b"x"));
    assert!(matches!(&claims[..], [(_, Command::ClaimForTicks { ticks, .. })] if u64::from(*ticks) > WINDOW.as_secs()));
    let claims = proposals(&ask(&mut owner(false), 2, 7, b"x"));
    assert!(matches!(&claims[..], [(_, Command::Claim { .. })]));
}

#[test]
fn a_claim_granted_long_ago_is_not_sent_on_without_a_lease_and_is_released() {
    let mut owner = owner(true);
    let claims = proposals(&ask(&mut owner, 2, 7, b"x"));
    let granted = CommandReply::Claim { state: ClaimState::Granted, answer: Vec::new().into() };
    let message =
        LeaseMessage::ProposalAck { request_id: claims[0].0, state: 1, body: wire::to_bytes(&granted).into() };
    let frozen = owner.step(ms(3000), false, OwnerInput::StoreOperation { message });
    assert!(sent(&frozen).is_empty(), "nothing is sent without a valid lease");
    let lapsed = owner.step(ms(3001), false, OwnerInput::Lapsed);
    assert!(matches!(proposals(&lapsed)[..], [(_, Command::Release { .. })]));
    assert!(sent(&owner.step(ms(3002), true, OwnerInput::Tick)).is_empty());
}

/// The release is taken before the claim it is meant for.
#[test]
fn a_claim_granted_after_its_release_is_released_again() {
    let mut owner = owner(true);
    let claims = proposals(&ask(&mut owner, 2, 7, b"x"));
    let lapsed = owner.step(ms(10), false, OwnerInput::Lapsed);
    assert!(proposals(&lapsed).iter().any(|(_, command)| matches!(command, Command::Release { .. })));
    let outputs = claim_answered(&mut owner, 20, claims[0].0, ClaimState::Granted, b"");
    assert!(matches!(proposals(&outputs)[..], [(_, Command::Release { .. })]));
    assert!(sent(&outputs).is_empty());
}

/// A request that is refused for its expected wait costs the registries nothing.
#[test]
fn nothing_is_claimed_for_what_would_be_refused() {
    let mut owner = owner(true);
    first_is_sent(&mut owner);
    let mut refused = 0;
    for task in 100..400 {
        let outputs = ask_under(&mut owner, 20, task, &format!("k-{task}"), b"x");
        if let [(claim, Command::ClaimForTicks { .. })] = proposals(&outputs)[..] {
            claim_answered(&mut owner, 20, claim, ClaimState::Granted, b"");
        } else {
            assert_eq!(told(&outputs)[0].2, 503);
            refused += 1;
        }
    }
    assert!(refused > 100, "only {refused} were refused");
    assert_eq!(owner.status()["keyed"]["released"].as_u64(), Some(0));
}

#[test]
fn an_answer_too_long_to_be_recorded_is_given_again_by_its_owner_alone() {
    let timing = OwnerTiming { recorded_answer_bytes: 4, ..OwnerTiming::default() };
    let mut owner = owner_with(timing, false);
    let dispatch = first_is_sent(&mut owner);
    let outputs = complete(&mut owner, 50, dispatch);
    let [(_, Command::RecordAnswer { answer, .. })] = &proposals(&outputs)[..] else { panic!("it is recorded") };
    let recorded: StoredAnswer = wire::from_bytes(answer.as_slice()).expect("an answer");
    assert_eq!((recorded.outcome, recorded.status), (Outcome::Unknown, 504));
    assert_eq!(told(&ask(&mut owner, 60, 8, b"x"))[0].4, b"sword");
}

fn in_doubt(owner: &mut FunctionOwner, at: u64, may_serve: bool, number: u64) -> Vec<OwnerOutput> {
    let outcome = DispatchOutcome::InDoubt { detail: "closed".into(), timed_out: false };
    owner.step(ms(at), may_serve, OwnerInput::Dispatched { number, outcome })
}

#[test]
fn instances_that_know_keys_again_are_sent_an_attempt_in_doubt_once_more() {
    let mut owner = owner_with(OwnerTiming::default(), true);
    let first = first_is_sent(&mut owner);
    let again = sent(&in_doubt(&mut owner, 50, true, first));
    let [second] = again[..] else { panic!("it is sent again: {again:?}") };
    let answered = complete(&mut owner, 90, second);
    assert_eq!(told(&answered), [(7, Outcome::Answered, 201, 0, b"sword".to_vec())]);
}

#[test]
fn an_attempt_in_doubt_is_never_released() {
    let mut owner = owner_with(OwnerTiming::default(), true);
    let mut dispatch = first_is_sent(&mut owner);
    let mut all = Vec::new();
    for at in [50, 100, 150, 200, 250] {
        let outputs = in_doubt(&mut owner, at, true, dispatch);
        dispatch = sent(&outputs).first().copied().unwrap_or_default();
        all.extend(outputs);
    }
    all.extend(owner.step(ms(260), false, OwnerInput::Lapsed));
    assert_eq!(told(&all).iter().map(|told| told.2).collect::<Vec<_>>(), [504]);
    assert!(matches!(proposals(&all)[..], [(_, Command::RecordAnswer { .. })]), "over, and not to be run again");
}

#[test]
fn one_that_waits_for_its_next_attempt_when_the_lease_lapses_is_recorded_as_unknown() {
    let mut owner = owner_with(OwnerTiming::default(), true);
    let dispatch = first_is_sent(&mut owner);
    let held = in_doubt(&mut owner, 50, false, dispatch);
    assert!(sent(&held).is_empty() && told(&held).is_empty());
    let lapsed = owner.step(ms(60), false, OwnerInput::Lapsed);
    assert_eq!(told(&lapsed).iter().map(|told| (told.1, told.2)).collect::<Vec<_>>(), [(Outcome::Unknown, 504)]);
    assert!(matches!(proposals(&lapsed)[..], [(_, Command::RecordAnswer { .. })]));
}
