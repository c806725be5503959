//! Growth of the congestion window with answers, and its reduction by rejections.

use super::{Allowance, SendWindow};

/// Keeps the window full while `answers` answers arrive.
fn fill(window: &mut SendWindow, answers: u32, left: usize) {
    for _ in 0..answers {
        assert!(!window.may_send(usize::MAX, left));
        window.answered(Allowance { rejections: 0, left });
    }
}

fn size(window: &mut SendWindow) -> usize {
    (0..).find(|on_the_way| !window.may_send(*on_the_way, 1)).expect("some size")
}

#[test]
fn it_grows_by_one_with_each_window_of_answers_while_it_holds_requests_up() {
    let mut window = SendWindow::new(10);
    fill(&mut window, 11, 10);
    assert_eq!(size(&mut window), 11);
    fill(&mut window, 500, 10);
    assert!((30..=40).contains(&size(&mut window)), "{}", size(&mut window));
}

#[test]
fn answers_that_it_did_not_hold_up_do_not_let_it_grow() {
    let mut window = SendWindow::new(10);
    for _ in 0..1000 {
        assert!(window.may_send(3, 10));
        window.answered(Allowance { rejections: 0, left: 10 });
    }
    assert_eq!(size(&mut window), 10);
}

#[test]
fn a_rejection_halves_it_but_not_below_what_the_allowance_leaves() {
    let mut window = SendWindow::new(10);
    fill(&mut window, 500, 10);
    let before = size(&mut window);
    window.rejected();
    assert_eq!(size(&mut window), before / 2);
    (0..4).for_each(|_| window.rejected());
    assert!(window.may_send(4, 5) && !window.may_send(5, 5), "five are left of the allowance");
    assert!(!window.may_send(0, 0), "none is left");
}

#[test]
fn growth_that_is_not_used_fades_to_where_it_began_and_no_further() {
    let mut window = SendWindow::new(10);
    fill(&mut window, 500, 10);
    (0..1000).for_each(|_| window.decay());
    assert_eq!(size(&mut window), 10);
    window.rejected();
    (0..10).for_each(|_| window.decay());
    assert_eq!(size(&mut window), 5, "only answers restore what a rejection took");
}

#[test]
fn rejections_stop_its_growth_unless_they_are_rare() {
    let grown_beside = |rejections: usize, answers: u32| {
        let mut window = SendWindow::new(10);
        for _ in 0..answers {
            window.may_send(usize::MAX, 5);
            window.answered(Allowance { rejections, left: 5 });
        }
        size(&mut window) > 10
    };
    assert!(!grown_beside(5, 490), "one rejection per hundred answers");
    assert!(grown_beside(5, 600), "fewer than one rejection per hundred answers");
}
