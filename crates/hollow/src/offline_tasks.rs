//! One task through its owner: the frames that carry it there and back, and what the owner's state
//! machine and the codec take for it, against the bytes of its body. Sockets are not in it.

use crate::line::Order;
use crate::offline::timed;
use crate::offline_owner::open;
use crate::tally::round;
use crate::workload::Workload;
use serde_json::{Value, json};
use std::time::Duration;
use traffic::{DispatchOutcome, OwnerInput, OwnerOutput};
use wire::{FORMAT, ForwardMessage, Frame, HeaderField, Message, Outcome, RequestHead, decode, encode};

const TASKS: u64 = 500;
const APART: Duration = Duration::from_millis(10);

fn frame(message: ForwardMessage) -> Vec<u8> {
    let message = Message::Forward(message);
    encode(&Frame { format: FORMAT, cluster: "hollow".into(), sender: 7, incarnation: 1, message })
}

fn read(raw: &[u8]) {
    let checksum = u32::from_le_bytes([raw[4], raw[5], raw[6], raw[7]]);
    drop(decode("hollow", checksum, &raw[8..]));
}

pub fn tasks(order: &Order) -> Value {
    let bytes = order.bytes[0];
    let workload = Workload { functions: 21, awake: 21, instances: 84 };
    let (mut owner, from) = open(&workload, 1);
    let name = workload.name(0);
    let header = |name: &str| HeaderField { name: name.into(), value: vec![b'x'; 24].into() };
    let headers = ["content-type", "content-length", "user-agent", "accept"].map(header).to_vec().into();
    let head: Vec<u8> =
        wire::to_bytes(&RequestHead { method: "POST".into(), target: format!("/{name}").as_str().into(), headers });
    let forward = |task: u64| ForwardMessage::ForwardUncounted {
        task,
        function: name.as_str().into(),
        binding: name.as_str().into(),
        left_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: "".into(),
        head: head.clone().into(),
        body: vec![b'b'; bytes].into(),
    };
    let forwarded = ForwardMessage::AnswerInSeconds {
        task: 1,
        outcome: Outcome::Answered,
        status: 200,
        retry_after: 0,
        head: head.clone().into(),
        body: vec![b'b'; bytes].into(),
    };
    let (there, back) = (frame(forward(1)), frame(forwarded.clone()));
    let mut now = from;
    let (mut next, mut answered) = (0, 0);
    let full = |head: &[u8]| DispatchOutcome::Complete {
        status: 200,
        head: head.to_vec(),
        body: vec![b'b'; bytes],
        turned_away: false,
    };
    let steps = timed(5, || {
        for _ in 0..TASKS {
            now += APART;
            next += 1;
            let outputs = owner.step(now, true, OwnerInput::Forward { from: 9, message: forward(next) });
            for output in outputs {
                let OwnerOutput::Dispatch(order) = output else { continue };
                let outcome = full(&head);
                let outputs = owner.step(now, true, OwnerInput::Dispatched { number: order.number, outcome });
                answered += outputs.iter().filter(|output| matches!(output, OwnerOutput::Forward { .. })).count();
            }
        }
    });
    let codec = timed(5, || {
        for task in 0..TASKS {
            read(&frame(forward(task)));
            drop(frame(forwarded.clone()));
        }
    });
    json!({
        "carry bytes": there.len(), "answer bytes": back.len(),
        "home step us a task": round(steps * 1000.0 / TASKS as f64),
        "codec us a task": round(codec * 1000.0 / TASKS as f64),
        "answered of sent": round(answered as f64 / next as f64),
    })
}
