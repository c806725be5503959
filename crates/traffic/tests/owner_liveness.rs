//! Fronts to which an owner sends heartbeats, and when a front considers an owner silent.

mod common;

use common::{ME, OTHER, forward, front, membership, ms, routes, send_request};
use traffic::{FrontInput, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::ForwardMessage;

fn heartbeats_to(outputs: &[OwnerOutput]) -> Vec<u64> {
    let to = |output: &OwnerOutput| match output {
        OwnerOutput::Forward { to, message: ForwardMessage::Heartbeat } => Some(*to),
        _ => None,
    };
    outputs.iter().filter_map(to).collect()
}

fn heartbeat_requests(outputs: &[FrontOutput]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, FrontOutput::Forward { message: ForwardMessage::HeartbeatRequest, .. }))
        .count()
}

fn front_without_link() -> traffic::Front {
    let mut front = traffic::Front::new(ME, 1, traffic::FrontLimits::default());
    front.step(ms(0), true, FrontInput::RouteTable { routes: routes() });
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[OTHER]) });
    front
}

#[test]
fn an_owner_sends_heartbeats_to_fronts_whose_requests_it_has_and_on_request() {
    let mut owner = FunctionOwner::new(OTHER, 1, OwnerSettings::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: routes() });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[OTHER, 3, 4, 5, 6]) });
    let owners = membership(1, &[OTHER]);
    owner.step(ms(0), true, OwnerInput::Membership { membership: owners });
    assert!(heartbeats_to(&owner.step(ms(200), true, OwnerInput::Tick)).is_empty());
    assert_eq!(
        heartbeats_to(&owner.step(
            ms(210),
            true,
            OwnerInput::Forward { from: 3, message: ForwardMessage::HeartbeatRequest }
        )),
        [3]
    );
    assert!(
        heartbeats_to(&owner.step(
            ms(215),
            false,
            OwnerInput::Forward { from: 3, message: ForwardMessage::HeartbeatRequest }
        ))
        .is_empty()
    );
    let (_, message) = forward(&send_request(&mut front(1, OTHER), 5, true, "/t/f"));
    owner.step(ms(220), true, OwnerInput::Forward { from: 4, message });
    assert_eq!(heartbeats_to(&owner.step(ms(400), true, OwnerInput::Tick)), [4]);
    assert!(
        heartbeats_to(&owner.step(ms(600), false, OwnerInput::Tick)).is_empty(),
        "no heartbeats without a valid lease"
    );
    let answered = |o: &OwnerOutput| matches!(o, OwnerOutput::Forward { message: ForwardMessage::Answer { .. }, .. });
    let given_up = (7..80).map(|n| owner.step(ms(n * 100), true, OwnerInput::Tick)).any(|o| o.iter().any(answered));
    assert!(given_up && heartbeats_to(&owner.step(ms(8100), true, OwnerInput::Tick)).is_empty(), "no request is left");
}

#[test]
fn first_requests_wait_for_the_link_and_are_forwarded_as_soon_as_it_is_up() {
    let mut front = front_without_link();
    assert_eq!(heartbeat_requests(&send_request(&mut front, 5, true, "/t/f")), 1);
    assert_eq!(
        heartbeat_requests(&send_request(&mut front, 6, true, "/t/f")),
        0,
        "a heartbeat was requested just before"
    );
    let forwarded = front.step(ms(9), true, FrontInput::Link { id: OTHER, up: true });
    assert_eq!(forwarded.len(), 2);
    assert!(
        forwarded.iter().all(|o| matches!(o, FrontOutput::Forward { message: ForwardMessage::Forward { .. }, .. }))
    );
}

#[test]
fn an_owner_is_forwarded_to_until_it_is_silent_after_a_forward() {
    let mut front = front(1, OTHER);
    forward(&send_request(&mut front, 60_000, true, "/t/f"));
    forward(&send_request(&mut front, 60_300, true, "/t/f"));
    assert_eq!(heartbeat_requests(&send_request(&mut front, 60_400, true, "/t/f")), 1);
    for at in [62_000, 65_000] {
        let outputs = send_request(&mut front, at, true, "/t/f");
        assert!(
            outputs
                .iter()
                .all(|output| !matches!(output, FrontOutput::Forward { message: ForwardMessage::Forward { .. }, .. })),
            "nothing is forwarded to a silent owner"
        );
    }
    front.step(ms(65_100), true, FrontInput::Message { from: OTHER, message: ForwardMessage::Heartbeat });
    forward(&send_request(&mut front, 65_200, true, "/t/f"));
    front.step(ms(65_300), true, FrontInput::Message { from: OTHER, message: ForwardMessage::Heartbeat });
    forward(&send_request(&mut front, 80_000, true, "/t/f"));
}
