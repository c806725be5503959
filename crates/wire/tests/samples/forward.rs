//! Samples of messages between routers, and of messages about plans.

use super::encode_frame;
use wire::{
    DemandSample, ForwardMessage, ForwardRequest, InstanceRecord, InstanceSlots, InventoryChange, Measurement, Message,
    Outcome, OwnershipTable, PlanMessage, QuotaCount, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaReport,
    QuotaRequest, QuotaTotal, QuotaTotals, TunedParameters, WorkerRecord,
};

fn instance_slots() -> InstanceSlots {
    InstanceSlots { instance: "i".into(), address: "a:1".into(), ready: 1, busy: 201 }
}

fn ownership_table() -> OwnershipTable {
    OwnershipTable {
        function: "t/f".into(),
        membership: 202,
        is_standby_copy: 1,
        slots: vec![instance_slots()].into(),
        requests: 203,
        retries: 204,
        rejections: 205,
        started: vec!["id".into()].into(),
        is_started_complete: 2,
    }
}

fn inventory_change() -> InventoryChange {
    let instance = InstanceRecord {
        id: "i".into(),
        function: "t/f".into(),
        address: "a:1".into(),
        zone: "z".into(),
        worker: "w".into(),
        state: 2,
    };
    let worker = WorkerRecord { name: "w".into(), zone: "z".into(), memory_mb: 206, free_mb: 207, ready: 1 };
    InventoryChange {
        number: 208,
        since: 209,
        age_ms: 210,
        instances: vec![instance].into(),
        removed_instances: vec!["j".into()].into(),
        workers_read: 1,
        workers_age_ms: 211,
        workers: vec![worker].into(),
        removed_workers: vec!["v".into()].into(),
    }
}

fn forward_request() -> ForwardRequest {
    ForwardRequest {
        task: 212,
        function: "t/f".into(),
        binding: "t/b".into(),
        remaining_ms: 213,
        resends: 3,
        attempts: 214,
        respond_async: 1,
        key: "k".into(),
        head: vec![215].into(),
        body: vec![216].into(),
    }
}

fn uncounted_forward() -> ForwardMessage {
    ForwardMessage::ForwardUncounted {
        task: 217,
        function: "t/f".into(),
        binding: "t/b".into(),
        remaining_ms: 218,
        resends: 4,
        respond_async: 1,
        key: "k".into(),
        head: vec![219].into(),
        body: vec![220].into(),
    }
}

fn quota_report() -> ForwardMessage {
    let count = QuotaCount {
        consumer: 301,
        admitted: 302,
        refunded: 303,
        arrived: 304,
        unconfirmed_used: 305,
        unconfirmed_arrived: 306,
    };
    let report = QuotaReport { incarnation: 307, number: 308, is_probe: 1, counts: vec![count].into() };
    ForwardMessage::QuotaReport { report }
}

fn quota_totals() -> ForwardMessage {
    let total = QuotaTotal { consumer: 309, level_centi: -310, demand_centi: 311 };
    ForwardMessage::QuotaTotals { totals: QuotaTotals { number: 312, totals: vec![total].into() } }
}

fn credit_messages() -> [ForwardMessage; 4] {
    [
        ForwardMessage::QuotaRequest { request: QuotaRequest { number: 313, consumer: 314, wanted: 315 } },
        ForwardMessage::QuotaGrant { grant: QuotaGrant { number: 316, granted: 317, retry_after_ms: 318 } },
        ForwardMessage::QuotaGrantersQuery { query: QuotaGrantersQuery { round: 319 } },
        ForwardMessage::QuotaGrantersReply {
            reply: QuotaGrantersReply { round: 320, granters: 321, membership_in_use_ms: 322 },
        },
    ]
}

pub fn forward_messages() -> Vec<Vec<u8>> {
    use ForwardMessage::*;
    let (head, body) = (vec![221].into(), vec![222].into());
    let in_seconds =
        AnswerInSeconds { task: 223, outcome: Outcome::Unknown, status: 224, retry_after: 225, head, body };
    let (head, body) = (vec![226].into(), vec![227].into());
    let answer = Answer { task: 228, outcome: Outcome::Accepted, status: 229, retry_after_ms: 230, head, body };
    [
        uncounted_forward(),
        in_seconds,
        NotOwner { task: 231 },
        Handover {
            function: "t/f".into(),
            membership: 232,
            slots: vec![instance_slots()].into(),
            requests: 233,
            retries: 234,
        },
        Preempt { function: "t/f".into(), memory_mb: 235 },
        Heartbeat,
        OwnershipTable { table: ownership_table() },
        answer,
        HeartbeatRequest,
        Inventory { inventory: inventory_change() },
        InventoryRequest,
        Forward { request: Box::new(forward_request()) },
        AttemptRequest { task: 236, attempts: 237 },
        AttemptGrant { task: 238, attempts: 239 },
        Returned { task: 240, attempts: 241 },
        ForwardForConsumer { request: Box::new(forward_request()), consumer: "t/c".into() },
        quota_report(),
        quota_totals(),
    ]
    .into_iter()
    .chain(credit_messages())
    .map(|message| encode_frame(Message::Forward(message)))
    .collect()
}

pub fn plan_messages() -> Vec<Vec<u8>> {
    let sample = DemandSample {
        function: "t/f".into(),
        rate_milli: 251,
        response_micro: 252,
        waiting_milli: 253,
        queued_milli: 254,
    };
    let measurement = Measurement {
        function: "t/f".into(),
        boot_micro: 255,
        boots: 256,
        refused: 257,
        rejections: 258,
        waiting_milli: 259,
        usage_milli: 260,
    };
    let tuned = TunedParameters {
        function: "t/f".into(),
        startup_delay_steps: 261,
        target_usage_micro: 262,
        sla_hard_milli: 263,
        reason: "why".into(),
    };
    [
        PlanMessage::Samples { samples: vec![sample].into() },
        PlanMessage::Request { request_id: 264, function: "t/f".into(), current: 265, queued: 266, waiting: 267 },
        PlanMessage::Reply { request_id: 268, fence: 269, state: 1, step_ms: 270, desired: vec![271].into() },
        PlanMessage::Measurements { measurements: vec![measurement].into() },
        PlanMessage::Tuned { fence: 272, parameters: vec![tuned].into() },
    ]
    .into_iter()
    .map(|message| encode_frame(Message::Plan(message)))
    .collect()
}
