//! What is reserved is given back, however it goes, and waiting reservations are served in order.

use memory::MemoryBudget;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::oneshot;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime").block_on(work)
}

#[test]
fn a_dropped_reservation_is_free_again() {
    let budget = MemoryBudget::new(100);
    let first = budget.try_reserve(60);
    assert!(budget.try_reserve(41).is_none());
    assert_eq!((budget.reserved_bytes(), budget.shortages()), (60, 1));
    drop(first);
    assert_eq!(budget.reserved_bytes(), 0);
    assert!(budget.try_reserve(100).is_some());
}

#[test]
fn a_reservation_grows_by_merging_and_gives_back_its_excess() {
    let budget = MemoryBudget::new(100);
    let mut reservation = budget.try_reserve(30).unwrap();
    reservation.merge(budget.try_reserve(50).unwrap());
    assert_eq!((reservation.bytes(), budget.reserved_bytes()), (80, 80));
    reservation.shrink_to(10);
    assert_eq!((reservation.bytes(), budget.reserved_bytes()), (10, 10));
    reservation.shrink_to(20);
    assert_eq!(reservation.bytes(), 10, "nothing is added");
}

#[test]
fn attached_memory_is_held_until_the_last_clone_is_dropped() {
    let budget = MemoryBudget::new(100);
    let body = budget.try_reserve(4).unwrap().attach_to(b"body".to_vec());
    let part = body.slice(1..2);
    assert_eq!((&body[..], &part[..]), (&b"body"[..], &b"o"[..]));
    drop(body);
    assert_eq!(budget.reserved_bytes(), 4);
    drop(part);
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn waiting_reservations_are_served_in_order_and_one_over_the_capacity_never() {
    block_on(async {
        let budget = MemoryBudget::new(100);
        assert!(budget.reserve(101).await.is_none());
        let held = budget.reserve(80).await;
        let (served, order) = oneshot::channel();
        let first = async {
            let reservation = budget.reserve(90).await;
            let _ = served.send("the first");
            drop(reservation);
        };
        // Smaller, and there would be room at once, but the other one came first.
        let second = async {
            let _reservation = budget.reserve(10).await;
            order.await
        };
        let give_back = async { drop(held) };
        let (_, order, ()) = tokio::join!(first, second, give_back);
        assert_eq!(order, Ok("the first"));
    });
}

#[test]
fn a_shortage_is_reported_until_the_bytes_are_free() {
    block_on(async {
        let budget = MemoryBudget::new(100);
        let held = RefCell::new(budget.try_reserve(100));
        let reports = Cell::new(0);
        let report = |bytes| {
            assert_eq!(bytes, 40);
            reports.set(reports.get() + 1);
            if reports.get() == 2 {
                held.take();
            }
        };
        let reservation = budget.reserve_reporting(40, Duration::ZERO, report).await;
        assert_eq!((reservation.map(|reservation| reservation.bytes()), reports.get()), (Some(40), 2));
        let reservation = budget.reserve_reporting(60, Duration::ZERO, |_| panic!("nothing is missing")).await;
        assert!(reservation.is_some());
    });
}
