//! Growth of the congestion window with answers, and its reduction by rejections.

use super::{RejectionAllowance, SendWindow};

/// Keeps the window full while `answers` answers arrive.
fn fill(window: &mut SendWindow, answers: u32, remaining: usize) {
    for _ in 0..answers {
        assert!(!window.may_send(usize::MAX, remaining));
        window.record_answer(RejectionAllowance { rejections: 0, remaining });
    }
}

fn size(window: &mut SendWindow) -> usize {
    (0..).find(|in_flight| !window.may_send(*in_flight, 1)).expect("some size")
}

#[test]
fn window_grows_by_one_per_window_of_answers_while_limiting() {
    let mut window = SendWindow::new(10);
    fill(&mut window, 11, 10);
    assert_eq!(size(&mut window), 11);
    fill(&mut window, 500, 10);
    assert!((30..=40).contains(&size(&mut window)), "{}", size(&mut window));
}

#[test]
fn window_does_not_grow_while_not_limiting() {
    let mut window = SendWindow::new(10);
    for _ in 0..1000 {
        assert!(window.may_send(3, 10));
        window.record_answer(RejectionAllowance { rejections: 0, remaining: 10 });
    }
    assert_eq!(size(&mut window), 10);
}

#[test]
fn rejection_halves_the_window_down_to_the_remaining_allowance() {
    let mut window = SendWindow::new(10);
    fill(&mut window, 500, 10);
    let before = size(&mut window);
    window.record_rejection();
    assert_eq!(size(&mut window), before / 2);
    (0..4).for_each(|_| window.record_rejection());
    assert!(window.may_send(4, 5) && !window.may_send(5, 5), "five are left of the allowance");
    assert!(!window.may_send(0, 0), "none is left");
}

#[test]
fn unused_growth_decays_to_the_initial_size() {
    let mut window = SendWindow::new(10);
    fill(&mut window, 500, 10);
    (0..1000).for_each(|_| window.decay());
    assert_eq!(size(&mut window), 10);
    window.record_rejection();
    (0..10).for_each(|_| window.decay());
    assert_eq!(size(&mut window), 5, "only answers restore what a rejection took");
}

#[test]
fn rejections_stop_growth_unless_rare() {
    let grown_beside = |rejections: usize, answers: u32| {
        let mut window = SendWindow::new(10);
        for _ in 0..answers {
            window.may_send(usize::MAX, 5);
            window.record_answer(RejectionAllowance { rejections, remaining: 5 });
        }
        size(&mut window) > 10
    };
    assert!(!grown_beside(5, 490), "one rejection per hundred answers");
    assert!(grown_beside(5, 600), "fewer than one rejection per hundred answers");
}
