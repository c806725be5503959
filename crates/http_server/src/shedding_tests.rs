//! Choice of the connections that give way.

use super::*;
use bytes::Bytes;
use futures_lite::future::poll_once;
use test_case::test_case;

const NONE: Duration = Duration::ZERO;

/// Returns whether the connection was asked, by what it waits for.
fn was_asked(connection: &ConnectionHandle) -> bool {
    let asked = async {
        let gives_up = poll_once(connection.asked_to_give_up_body()).await.is_some();
        gives_up || poll_once(connection.asked_to_close()).await.is_some()
    };
    futures_lite::future::block_on(asked)
}

fn asked(connections: &[ConnectionHandle]) -> Vec<bool> {
    connections.iter().map(was_asked).collect()
}

fn table(connections: &[ConnectionHandle]) -> ConnectionTable {
    ConnectionTable { connections: connections.to_vec(), shed_connections: Arc::default() }
}

/// Returns connections that were opened one after another.
fn connections<const N: usize>() -> [ConnectionHandle; N] {
    std::array::from_fn(|number| ConnectionHandle::opened_before(Duration::from_secs((N - number) as u64)))
}

#[test]
fn the_connection_that_has_been_idle_for_longest_gives_way_to_a_new_one() {
    let all: [ConnectionHandle; 3] = connections();
    all[0].enter(Phase::Client);
    table(&all).shed_connection();
    assert_eq!(asked(&all), [false, true, false], "the first one had a request a moment ago");
    table(&all).shed_connection();
    assert_eq!(asked(&all), [false, false, true], "none is asked twice");
}

#[test]
fn a_connection_that_waits_for_the_application_does_not_give_way() {
    let all: [ConnectionHandle; 1] = connections();
    all[0].enter(Phase::Application);
    table(&all).shed_connection();
    table(&all).shed(Shortage::AnswerBytes { bytes: 1, min_age: NONE });
    table(&all).shed(Shortage::BodyBytes(1));
    assert_eq!(asked(&all), [false]);
}

#[test_case(Phase::Application; "that an instance works on")]
#[test_case(Phase::Body; "whose body it withholds")]
fn an_unread_answer_gives_way_although_its_client_has_sent_another_request(phase: Phase) {
    let all: [ConnectionHandle; 1] = connections();
    let _unread = all[0].track_answer(Bytes::from_static(b"answer"));
    all[0].enter(phase);
    table(&all).shed(Shortage::AnswerBytes { bytes: 1, min_age: NONE });
    let closes = futures_lite::future::block_on(poll_once(all[0].asked_to_close()));
    assert!(closes.is_some(), "a refusal would stand behind the unread answer");
}

#[test_case(10, [true, false, false]; "the oldest has enough")]
#[test_case(11, [true, true, false]; "two are needed")]
#[test_case(1000, [true, true, true]; "all do not cover it")]
fn unread_answers_give_way_from_the_oldest_on(bytes: usize, expected: [bool; 3]) {
    let all: [ConnectionHandle; 3] = connections();
    let _unread: Vec<Bytes> = all.iter().map(|one| one.track_answer(Bytes::from_static(b"0123456789"))).collect();
    table(&all).shed(Shortage::AnswerBytes { bytes, min_age: NONE });
    assert_eq!(asked(&all), expected);
}

#[test]
fn a_young_answer_or_one_that_is_read_does_not_give_way() {
    let all: [ConnectionHandle; 2] = connections();
    let _unread = all[1].track_answer(Bytes::from_static(b"young"));
    drop(all[0].track_answer(Bytes::from_static(b"read")));
    table(&all).shed(Shortage::AnswerBytes { bytes: 1, min_age: Duration::from_secs(60) });
    assert_eq!(asked(&all), [false, false]);
    table(&all).shed(Shortage::AnswerBytes { bytes: 1, min_age: NONE });
    assert_eq!(asked(&all), [false, true]);
}

#[test]
fn a_shortage_is_covered_by_connections_that_were_asked_before() {
    let all: [ConnectionHandle; 2] = connections();
    let _unread: Vec<Bytes> = all.iter().map(|one| one.track_answer(Bytes::from_static(b"0123456789"))).collect();
    let table = table(&all);
    table.shed(Shortage::AnswerBytes { bytes: 5, min_age: NONE });
    table.shed(Shortage::AnswerBytes { bytes: 5, min_age: NONE });
    assert_eq!(asked(&all), [true, false]);
}

#[test]
fn a_body_gives_way_once_it_has_stalled() {
    let all: [ConnectionHandle; 3] = connections();
    all[0].enter(Phase::Body);
    all[0].body_progressed(10);
    all[1].hold_body_since_opening(0);
    table(&all).shed(Shortage::BodyBytes(1));
    assert_eq!(asked(&all), [false, false, false], "one makes progress, the others hold nothing");
    all[2].hold_body_since_opening(10);
    table(&all).shed(Shortage::BodyBytes(1));
    assert_eq!(asked(&all), [false, false, true]);
}
