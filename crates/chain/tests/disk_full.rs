//! Temporarily full disk: the data file keeps everything acknowledged, and the disk thread resumes by itself once
//! there is space. After any other fault it does not resume.

mod simulated_disk;

use chain::{Batch, Change, DiskReport, DiskWriter, Store};
use simulated_disk::SimulatedDisk;
use std::sync::mpsc;
use wire::{LogEntry, NodeAddress, ProposalId};

fn node() -> NodeAddress {
    NodeAddress { id: 5, address: "127.0.0.1:1".into() }
}

fn batch(seq: u64) -> Batch {
    let entry = LogEntry { seq, op: ProposalId { origin: 1, number: seq }, body: vec![seq as u8; 30_000].into() };
    let changes = vec![Change::put(format!("key {}", seq % 5), vec![seq as u8; 50_000])];
    Batch { changes, entries: vec![entry], trim_below: seq.saturating_sub(4), last: seq, ..Batch::default() }
}

/// Starts the disk thread on a simulated disk, and returns the channel of its reports.
fn start(simulated: &SimulatedDisk) -> (DiskWriter, mpsc::Receiver<DiskReport>) {
    let (store, _) = Store::open_on(simulated.clone(), "posta", node()).unwrap();
    let (reports, reported) = mpsc::channel();
    let reopened = simulated.clone();
    let reopen = move || {
        let (mut store, stored) = Store::open_on(reopened.clone(), "posta", node())?;
        store.write(&Batch { last: stored.last, known_committed: stored.known_committed, ..Batch::default() })?;
        Ok((store, stored))
    };
    let disk = DiskWriter::start(store, reopen, move |report| _ = reports.send(report)).unwrap();
    (disk, reported)
}

#[test]
fn a_disk_that_was_full_is_written_again_and_holds_everything_acknowledged() {
    for seed in 0..4u64 {
        let simulated = SimulatedDisk::new(Vec::new(), u64::MAX);
        let (disk, reported) = start(&simulated);
        let mut acknowledged = 0;
        for round in 1..=3u64 {
            for seq in acknowledged + 1..=acknowledged + 3 + seed {
                assert!(disk.write(seq, batch(seq)));
                assert!(matches!(reported.recv(), Ok(DiskReport::Written { ticket }) if ticket == seq));
                acknowledged = seq;
            }
            simulated.0.lock().unwrap().full = true;
            disk.write(acknowledged + 1, batch(acknowledged + 1));
            assert!(matches!(reported.recv(), Ok(DiskReport::Failed(error)) if error.is_disk_full()), "round {round}");
            simulated.0.lock().unwrap().full = false;
            let Ok(DiskReport::Recovered { stored }) = reported.recv() else { panic!("the disk does not recover") };
            assert!((acknowledged..=acknowledged + 1).contains(&stored.last), "{} of {acknowledged}", stored.last);
            let newest = stored.state.get(&format!("key {}", stored.last % 5)).map(|value| value[0]);
            assert_eq!(newest, Some(stored.last as u8), "the stored value is not that of the last entry");
            acknowledged = stored.last;
        }
    }
}

#[test]
fn after_a_fault_other_than_a_full_disk_the_file_is_not_written_again() {
    let simulated = SimulatedDisk::new(Vec::new(), u64::MAX);
    drop(Store::open_on(simulated.clone(), "posta", node()).unwrap());
    let image = simulated.0.lock().unwrap().synced.clone();
    let failing = SimulatedDisk::new(image, 12);
    let (disk, reported) = start(&failing);
    let error = (1..50u64).find_map(|seq| {
        disk.write(seq, batch(seq));
        match reported.recv() {
            Ok(DiskReport::Failed(error)) => Some(error),
            _ => None,
        }
    });
    assert!(error.is_some_and(|error| !error.is_disk_full()));
    assert!(reported.recv().is_err(), "the disk thread still runs");
}
