//! Dimensions of a run: the number of nodes, the load, and when each phase begins and ends.

use crate::sorts::Sort;
use std::ops::Range;
use std::time::Duration;

/// Dimensions and timetable of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub sort: Sort,
    pub registries: usize,
    /// Number of registries that may be lost with their disks at the same time.
    pub losses: usize,
    pub routers: usize,
    pub functions: usize,
    pub limit: u32,
    pub fault_phases: [(Duration, Duration); 2],
    pub final_fault: Duration,
    pub callers_end: Duration,
    pub end: Duration,
    pub rate: f64,
    pub instances: usize,
    /// How long routers keep serving on confirmations from their peers while they can't reach the core.
    pub peer_hold: Duration,
    /// Pause between two changes of the configuration, in milliseconds.
    pub change_pause_ms: Range<u64>,
}

impl Plan {
    pub fn new(seed: u64, sort: Sort) -> Plan {
        let seconds = Duration::from_secs;
        let busy = sort == Sort::Resets;
        let (registries, losses) = match seed % 4 {
            1 if sort.is_on_control() => (6, 2),
            2 if sort.is_on_control() => (8, 2),
            _ => (3, 1),
        };
        let long = sort.is_on_control();
        Plan {
            sort,
            registries,
            losses,
            routers: if matches!(sort, Sort::Storm | Sort::Wake) { 5 } else { 3 + (seed % 3) as usize },
            functions: match sort {
                Sort::Wake => 60,
                Sort::Consumers => 12,
                _ => 8,
            },
            limit: if sort == Sort::Wake { 1 } else { 3 },
            fault_phases: match sort {
                // Shorter phases, since the request rate is higher.
                Sort::Resets => [(seconds(12), seconds(22)), (seconds(24), seconds(26))],
                _ if long => [(seconds(14), seconds(28)), (seconds(70), seconds(80))],
                _ => [(seconds(12), seconds(22)), (seconds(46), seconds(54))],
            },
            final_fault: seconds(if busy {
                28
            } else if long {
                122
            } else {
                76
            }),
            callers_end: seconds(if busy {
                30
            } else if long {
                126
            } else {
                80
            }),
            end: seconds(if busy {
                36
            } else if long {
                140
            } else {
                94
            }),
            rate: if busy { 60.0 } else { 25.0 },
            instances: match sort {
                Sort::Crowd => 9,
                Sort::Wake => 70,
                Sort::Flood => 16,
                _ => usize::MAX,
            },
            // Short enough that within a run a change comes into force though all routers of its quorum are gone.
            peer_hold: if sort == Sort::Restarts { seconds(10) } else { leases::DEFAULT_PEER_HOLD },
            change_pause_ms: if sort == Sort::Changes { 60..240 } else { 300..3000 },
        }
    }

    pub fn is_in_fault_phase(&self, now: Duration) -> bool {
        self.fault_phases.iter().any(|(from, to)| *from <= now && now < *to)
    }
}
