//! Effects of change entries on the state: declared revisions, and remembered outcomes of operations.

use chain::State;
use control::{apply, read_number};
use wire::{Command, CommandReply, ConfigurationItem, from_bytes, to_bytes};

fn propose(state: &mut State, command: &Command) -> CommandReply {
    let effect = apply(state, 1, &to_bytes(command));
    effect.changes.iter().for_each(|change| change.apply_to(state));
    from_bytes(&effect.reply).expect("every entry has a reply")
}

fn plan(fixed: u32) -> Vec<ConfigurationItem> {
    let value = format!(r#"{{"fixed":{fixed}}}"#).into_bytes();
    vec![ConfigurationItem { key: "headcount-plans/t/f".into(), is_removed: 0, value: value.into() }]
}

fn declare(op: &str, base: Option<u64>, revision: u64, fixed: u32) -> Command {
    let (any, base) = (base.is_none() as u8, base.unwrap_or_default());
    Command::Declare {
        op: op.into(),
        base,
        is_any_base: any,
        replaces_scope: 0,
        revision,
        scope: "".into(),
        items: plan(fixed).into(),
    }
}

fn refusal_status(reply: CommandReply) -> u16 {
    match reply {
        CommandReply::Refused { status, .. } => status,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn declared_revisions_may_skip_numbers_but_must_increase() {
    let mut state = State::new();
    for (step, (base, declared, revision)) in
        [(0, 5, 5), (5, 0, 6), (6, 1_000_000, 1_000_000), (1_000_000, 1_000_001, 1_000_001)].into_iter().enumerate()
    {
        let reply = propose(&mut state, &declare(&format!("op{step}"), Some(base), declared, 1));
        assert_eq!(reply, CommandReply::Changed { epoch: step as u64 + 1, revision });
    }
    for declared in [1, 1_000_000, 1_000_001] {
        assert_eq!(refusal_status(propose(&mut state, &declare("low", None, declared, 2))), 422);
    }
    assert_eq!(refusal_status(propose(&mut state, &declare("stale", Some(6), 2_000_000, 2))), 412);
    assert_eq!(read_number(&state, "c/latest-revision"), 1_000_001);
    propose(&mut state, &Command::Activate { epoch: 4 });
    assert_eq!(read_number(&state, "c/revision"), 1_000_001);
}

#[test]
fn an_accepted_change_is_remembered_and_a_refused_one_is_validated_again() {
    let mut state = State::new();
    let early = declare("early", Some(3), 9, 1);
    assert_eq!(refusal_status(propose(&mut state, &early)), 412);
    assert_eq!(propose(&mut state, &declare("first", Some(0), 3, 2)), CommandReply::Changed { epoch: 1, revision: 3 });
    let accepted = propose(&mut state, &early);
    assert_eq!(accepted, CommandReply::Changed { epoch: 2, revision: 9 });
    propose(&mut state, &declare("later", Some(9), 10, 3));
    let before = state.clone();
    assert_eq!(propose(&mut state, &early), accepted);
    assert_eq!(propose(&mut state, &declare("first", Some(0), 3, 2)), CommandReply::Changed { epoch: 1, revision: 3 });
    assert!(state == before, "a repeated change has no effect");
}

#[test]
fn an_accepted_change_is_remembered_for_its_full_time_after_earlier_refusals() {
    let mut state = State::new();
    let early = declare("early", Some(3), 9, 1);
    (1..=100).for_each(|number| _ = propose(&mut state, &Command::Tick { number }));
    assert_eq!(refusal_status(propose(&mut state, &early)), 412);
    (101..=200).for_each(|number| _ = propose(&mut state, &Command::Tick { number }));
    propose(&mut state, &declare("first", Some(0), 3, 2));
    let accepted = propose(&mut state, &early);
    (201..=86_500).for_each(|number| _ = propose(&mut state, &Command::Tick { number }));
    assert!(!state.contains_key("q/early"), "the refusal has expired");
    assert_eq!(propose(&mut state, &early), accepted);
    (86_501..=86_600).for_each(|number| _ = propose(&mut state, &Command::Tick { number }));
    assert_eq!(
        refusal_status(propose(&mut state, &early)),
        412,
        "the accepted change has expired a day after it was accepted"
    );
}

#[test]
fn an_entry_of_format_2_keeps_its_meaning() {
    let mut state = State::new();
    let entry = |op: &str, base| Command::Change {
        op: op.into(),
        base,
        is_any_base: 0,
        replaces_scope: 0,
        scope: "".into(),
        items: plan(1).into(),
    };
    assert_eq!(refusal_status(propose(&mut state, &entry("early", 1))), 412);
    assert_eq!(propose(&mut state, &entry("first", 0)), CommandReply::Changed { epoch: 1, revision: 1 });
    assert_eq!(refusal_status(propose(&mut state, &entry("early", 1))), 412, "the refusal is remembered");
    let repeated = declare("early", Some(1), 0, 1);
    assert_eq!(
        propose(&mut state, &repeated),
        CommandReply::Changed { epoch: 2, revision: 2 },
        "an entry of the newer format is validated again"
    );
    assert_eq!(propose(&mut state, &declare("first", Some(0), 0, 1)), CommandReply::Changed { epoch: 1, revision: 1 });
}
