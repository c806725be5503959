//! Kinds read from a frame's first bytes, slopes through points, and what is refused before a start.

use hollow::{Count, Order, Tally, Way, field, fit, kind, parse, possible};
use test_case::test_case;
use wire::{ChainMessage, FORMAT, ForwardMessage, Frame, LeaseMessage, Message, PlanMessage, encode};

#[test_case(Message::Chain(ChainMessage::Heartbeat { view: 1, round: 2, unhealthy: 0 }), "chain.beat")]
#[test_case(Message::Chain(ChainMessage::MissedEntries { snapshot_id: 1, entries: Vec::new().into() }), "chain.suffix")]
#[test_case(Message::Lease(LeaseMessage::Proof { request_id: 1, active: 1, latest: 1, member: 1 }), "hold.proof")]
#[test_case(Message::Lease(LeaseMessage::Leaving), "hold.leaving")]
#[test_case(Message::Forward(ForwardMessage::Heartbeat), "carry.beat")]
#[test_case(Message::Plan(PlanMessage::Tuned { fence: 1, lines: Vec::new().into() }), "plan.tuned")]
#[test_case(Message::Hello { address: "a:1".into() }, "hello")]
fn a_kind_is_read_from_the_first_bytes(message: Message, expected: &str) {
    let frame = Frame { format: FORMAT, cluster: "posta".into(), sender: 7, incarnation: 3, message };
    assert_eq!(kind(&encode(&frame)[8..]), expected);
}

#[test]
fn what_is_none_of_ours_is_other() {
    assert_eq!(kind(&[]), "other");
    assert_eq!(kind(&[1, 0, 255, 255, 255, 255, 9, 9]), "other");
    let none = [2, 0, 0, 0, 0, 0].into_iter().chain([0; 16]).chain([1, 99]).collect::<Vec<u8>>();
    assert_eq!(kind(&none), "other");
}

#[test]
fn counts_are_kept_apart_by_who_way_and_kind_and_since_when() {
    let mut tally = Tally::default();
    tally.add("tail", Way::In, "hold.renew", 2, 100);
    let before = tally.clone();
    tally.add("tail", Way::In, "hold.renew", 3, 150);
    tally.add("tail", Way::Out, "hold.proof", 1, 40);
    let has_changes = tally.since(&before);
    assert_eq!(has_changes.of("tail", Way::In, "hold.renew"), Count { messages: 3, bytes: 150 });
    assert_eq!(has_changes.of("tail", Way::Out, ""), Count { messages: 1, bytes: 40 });
    assert_eq!(has_changes.of("head", Way::In, ""), Count::default());
}

#[test]
fn a_line_and_a_square_are_distinguished_by_their_powers() {
    let line: Vec<(f64, f64)> = [10.0, 50.0, 200.0].into_iter().map(|x| (x, 3.0 * x)).collect();
    let fitted = fit(&line).unwrap();
    assert!((fitted.each - 3.0).abs() < 1e-9 && fitted.at_zero.abs() < 1e-6 && (fitted.power - 1.0).abs() < 1e-9);
    let square: Vec<(f64, f64)> = [10.0, 50.0, 200.0].into_iter().map(|x| (x, x * x)).collect();
    assert!((fit(&square).unwrap().power - 2.0).abs() < 1e-9);
    assert_eq!(fit(&line[..1]), None);
}

fn order(words: &str) -> Result<Option<Order>, String> {
    parse(lexopt::Parser::from_args(words.split_whitespace()))
}

#[test_case("run --nodes 0", "--nodes 0: allowed are numbers from 1 to 5000"; "no nodes")]
#[test_case("run --nodes 10,x", "--nodes 10,x: allowed are numbers"; "not a number")]
#[test_case("run --awake 9 --functions 5", "--awake 9: allowed is up to --functions"; "more awake than there are")]
#[test_case("run --nodes 2 --routers 2", "--nodes 2: more hollow nodes"; "no hollow node")]
#[test_case("run --speed 9", "no flag --speed"; "no such flag")]
#[test_case("walk", "say run, books"; "no such work")]
fn what_is_out_of_range_is_reported_in_one_line(words: &str, expected: &str) {
    let told = order(words).err().unwrap();
    assert!(told.starts_with(expected) && !told.contains('\n'), "{told}");
}

#[test]
fn more_nodes_than_memory_or_sockets_allow_are_refused_before_anything_starts() {
    let asked = order("run --nodes 100 --functions 9100").unwrap().unwrap();
    assert_eq!(possible(&asked, 16_000, 20_000), Ok(()));
    assert!(possible(&asked, 1500, 20_000).unwrap_err().contains("half of this machine's 1500 MB"));
    assert!(possible(&asked, 16_000, 1024).unwrap_err().contains("sockets are needed"));
}

#[test]
fn a_field_is_found_in_a_page_of_the_machine() {
    assert_eq!(field("Name:\tx\nVmRSS:\t  1234 kB\n", "VmRSS:"), 1234);
    assert_eq!(field("Name:\tx\n", "VmRSS:"), 0);
}
