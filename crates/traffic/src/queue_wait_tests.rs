//! Blocked time by cause, and the warning about a queue held by the owner's limit.

use super::{Blocked, BlockedTime, QueueBlock, QueueWait};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

#[test]
fn blocked_time_goes_to_the_previously_observed_cause() {
    let mut wait = QueueWait::default();
    assert_eq!(wait.observe(100 * MS, Some(QueueBlock::NoFreeSlot)), None);
    let first = wait.observe(130 * MS, Some(QueueBlock::RejectionRisk));
    assert_eq!(first, Some(Blocked { cause: QueueBlock::NoFreeSlot, time: 30 * MS }));
    let second = wait.observe(150 * MS, None);
    assert_eq!(second, Some(Blocked { cause: QueueBlock::RejectionRisk, time: 20 * MS }));
    assert_eq!(wait.observe(999 * MS, None), None);
    let mut total = BlockedTime::default();
    [first, second, first].into_iter().flatten().for_each(|blocked| total.add(blocked.cause, blocked.time));
    let by_cause: Vec<_> = total.by_cause().collect();
    assert_eq!(by_cause, [(QueueBlock::NoFreeSlot, 60 * MS), (QueueBlock::RejectionRisk, 20 * MS)]);
}

#[test]
fn warns_once_per_second_long_hold_by_the_owner_limit() {
    let mut wait = QueueWait::default();
    wait.observe(Duration::ZERO, Some(QueueBlock::NoFreeSlot));
    assert!(!wait.should_warn(5000 * MS), "slots are missing");
    wait.observe(5000 * MS, Some(QueueBlock::RejectionRisk));
    assert!(!wait.should_warn(5900 * MS));
    assert!(wait.should_warn(6000 * MS));
    assert!(!wait.should_warn(7000 * MS), "it was already warned");
    wait.observe(7000 * MS, None);
    wait.observe(7100 * MS, Some(QueueBlock::RejectionRisk));
    assert!(wait.should_warn(8100 * MS), "a new blocked period");
}
