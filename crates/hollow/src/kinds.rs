//! What a frame is, read from its first bytes alone, so that a relay need not decode what it passes on.

const CHAIN: [&str; 20] = [
    "chain.beat",
    "chain.beat-receipt",
    "chain.prepare",
    "chain.promise",
    "chain.accept",
    "chain.accepted",
    "chain.refused",
    "chain.decided",
    "chain.enter",
    "chain.append",
    "chain.synced",
    "chain.position",
    "chain.take-copy",
    "chain.copy-ask",
    "chain.copy-piece",
    "chain.join-ask",
    "chain.found-ask",
    "chain.done",
    "chain.suffix-ask",
    "chain.suffix",
];
const HOLD: [&str; 19] = [
    "hold.join",
    "hold.renew",
    "hold.proof",
    "hold.not-tail",
    "hold.stage",
    "hold.staged",
    "hold.activate",
    "hold.roster",
    "hold.fetch-all",
    "hold.piece",
    "hold.enter",
    "hold.enter-receipt",
    "hold.read",
    "hold.read-receipt",
    "hold.leave",
    "hold.peer-ask",
    "hold.peer-receipt",
    "hold.seats",
    "hold.leaving",
];
const CARRY: [&str; 7] =
    ["carry.carry", "carry.carried", "carry.not-home", "carry.handover", "carry.give-way", "carry.beat", "carry.table"];
const PLAN: [&str; 5] = ["plan.samples", "plan.ask", "plan.receipt", "plan.measures", "plan.tuned"];

/// The kind of a frame's record (what follows length and checksum), "other" if it is none of ours.
pub fn kind(record: &[u8]) -> &'static str {
    let Some(cluster) = record.get(2..6).and_then(|raw| raw.try_into().ok()).map(u32::from_le_bytes) else {
        return "other";
    };
    let at = (6 + 8 + 8usize).saturating_add(cluster as usize);
    let (family, word) = (record.get(at), record.get(at + 1).copied().unwrap_or(0) as usize);
    let list: &[&'static str] = match family {
        Some(1) => &CHAIN,
        Some(2) => &HOLD,
        Some(3) => &CARRY,
        Some(4) => &PLAN,
        Some(5) => return "hello",
        _ => return "other",
    };
    word.checked_sub(1).and_then(|place| list.get(place)).copied().unwrap_or("other")
}
