//! Dispatch order when slots are scarce: nested calls of running requests first, then requests that can still meet
//! their latency aim, then late ones.

mod common;

use common::ME;
use common::provider::{FUNCTION, OwnerWithProvider, six_workers};
use std::rc::Rc;
use traffic::{DispatchOutcome, OwnerInput, OwnerOutput};
use wire::{ForwardMessage, RequestHead};

fn forward(owner: &mut OwnerWithProvider, task: u64, left_ms: u32) {
    let message = ForwardMessage::ForwardUncounted {
        task,
        function: FUNCTION.into(),
        binding: FUNCTION.into(),
        remaining_ms: left_ms,
        resends: 0,
        respond_async: 0,
        key: format!("a-{task}").as_str().into(),
        head: wire::to_bytes(&RequestHead::default()).into(),
        body: task.to_le_bytes().to_vec().into(),
    };
    owner.feed(OwnerInput::Forward { from: ME, message });
}

/// Returns the requests sent since the last call: the number in the body, and the dispatch number.
fn sent(owner: &mut OwnerWithProvider) -> Vec<(u64, u64)> {
    let outputs = std::mem::take(&mut owner.others).into_iter();
    let orders = outputs.filter_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order),
        _ => None,
    });
    let task = |body: Vec<u8>| u64::from_le_bytes(body.try_into().expect("eight bytes"));
    orders.map(|order| (task(order.body.to_vec()), order.number)).collect()
}

#[test]
fn nested_calls_go_first_then_requests_within_their_aim_then_late_ones() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    let binding: &[u8] =
        br#"{"route":"/t/f","function":"f","class":"ordinary","memory_mb":512,"min":1,"max":1,"aim_ms":1200}"#;
    let routes = bindings::RouteTable::build(2, 2, [("function-bindings/t/f", binding)].into_iter());
    owner.feed(OwnerInput::RouteTable { routes: Rc::new(routes) });
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    owner.accepted(&nonce, "i1");
    owner.probed("i1", true);
    forward(&mut owner, 1, 4000);
    let mut last = sent(&mut owner);
    assert_eq!(last.iter().map(|(task, _)| *task).collect::<Vec<_>>(), [1]);
    forward(&mut owner, 2, 4000);
    owner.pass(1300);
    forward(&mut owner, 3, 4000);
    forward(&mut owner, 4, 2600);
    for expected in [4, 3, 2] {
        let outcome =
            DispatchOutcome::Complete { status: 200, head: Vec::new(), body: Vec::new().into(), turned_away: false };
        owner.feed(OwnerInput::Dispatched { number: last[0].1, outcome });
        last = sent(&mut owner);
        assert_eq!(last.iter().map(|(task, _)| *task).collect::<Vec<_>>(), [expected]);
    }
}
