//! The merge of counts is associative, commutative and idempotent, whatever came from which incarnation of a router.

use proptest::prelude::*;
use quota::{ConsumerId, Counters, MergedCounts};

fn counters() -> impl Strategy<Value = Counters> {
    (0..50u64, 0..50u64, 0..50u64).prop_map(|(admitted, refunded, arrived)| Counters { admitted, refunded, arrived })
}

fn counts() -> impl Strategy<Value = MergedCounts> {
    let record = (0..4u64, 0..3u64, 0..3u64, counters());
    prop::collection::vec(record, 0..12).prop_map(|records| {
        let mut counts = MergedCounts::default();
        for (origin, incarnation, consumer, counters) in records {
            counts.record(origin, incarnation, ConsumerId(consumer), counters);
        }
        counts
    })
}

fn merged(one: &MergedCounts, other: &MergedCounts) -> MergedCounts {
    let mut all = one.clone();
    all.merge(other);
    all
}

proptest! {
    #[test]
    fn merging_is_associative(a in counts(), b in counts(), c in counts()) {
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
    }

    #[test]
    fn merging_is_commutative(a in counts(), b in counts()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
    }

    #[test]
    fn merging_is_idempotent(a in counts(), b in counts()) {
        prop_assert_eq!(merged(&a, &a), a.clone());
        let once = merged(&a, &b);
        prop_assert_eq!(merged(&once, &b), once);
    }
}
