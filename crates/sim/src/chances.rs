//! What a run is made of: how long, how many nodes, which sorts of failure, and when. Failures come
//! in two bouts with a calm after each, so that what service came back to can be judged second by
//! second; every run ends with all registries losing power at once.

use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    Calm,
    Core,
    Routers,
    Network,
    Mixed,
    Planned,
    Crowd,
    Storm,
    Overload,
    Herd,
    Wake,
    Flood,
    Grown,
    Resets,
    Operators,
    Cutoff,
    Replacement,
    Anything,
}

const WORDS: [(&str, Sort); 18] = [
    ("calm", Sort::Calm),
    ("core", Sort::Core),
    ("routers", Sort::Routers),
    ("network", Sort::Network),
    ("mixed", Sort::Mixed),
    ("planned", Sort::Planned),
    ("crowd", Sort::Crowd),
    ("storm", Sort::Storm),
    ("overload", Sort::Overload),
    ("herd", Sort::Herd),
    ("wake", Sort::Wake),
    ("flood", Sort::Flood),
    ("grown", Sort::Grown),
    ("resets", Sort::Resets),
    ("operators", Sort::Operators),
    ("cutoff", Sort::Cutoff),
    ("replacement", Sort::Replacement),
    ("anything", Sort::Anything),
];

/// One failure and its drawing by weight: a sort names what may happen in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    KillRegistry,
    KillCore,
    FreezeRegistry,
    StallDisk,
    FillDisk,
    LoseDisk,
    KillRouter,
    KillZone,
    KillRouters,
    KillAll,
    FreezeRouter,
    FreezeHerd,
    CutOne,
    CutCore,
    CutSome,
    CutInside,
    CutPair,
    CutZone,
    SlowLinks,
    LoseAnswers,
    Garble,
    Worker,
    LeaveRouter,
    StopRegistry,
    Crowd,
    Overload,
    Eager,
    Grow,
    MoveSeeds,
    Wake,
    Flood,
    ResetLinks,
    Control(crate::control_faults::ControlFault),
}

impl Sort {
    pub fn from_word(word: &str) -> Option<Sort> {
        WORDS.iter().find(|(known, _)| *known == word).map(|(_, sort)| *sort)
    }

    pub fn words() -> String {
        WORDS.map(|(word, _)| word).join(", ")
    }

    /// The sorts on the control plane's failures, with longer bouts and more registries.
    pub fn is_on_control(self) -> bool {
        matches!(self, Sort::Cutoff | Sort::Replacement | Sort::Anything)
    }

    pub fn kinds(self) -> &'static [Kind] {
        use Kind::*;
        match self {
            Sort::Calm | Sort::Cutoff | Sort::Replacement | Sort::Anything => &[],
            Sort::Core => &[
                KillRegistry,
                KillRegistry,
                KillCore,
                FreezeRegistry,
                StallDisk,
                FillDisk,
                LoseDisk,
                CutInside,
                CutPair,
            ],
            Sort::Routers => &[KillRouter, KillRouter, KillZone, FreezeRouter, LoseAnswers, Garble, Worker],
            Sort::Network => &[CutOne, CutCore, CutSome, CutInside, CutPair, CutZone, SlowLinks],
            Sort::Planned => &[LeaveRouter, StopRegistry],
            Sort::Crowd => &[Crowd],
            Sort::Overload => &[Overload, Overload, Crowd, KillRouter, FreezeRouter, LeaveRouter],
            Sort::Herd => &[KillAll, KillRouters, KillCore, FreezeHerd, KillZone, Eager],
            Sort::Wake => &[Wake],
            Sort::Flood => &[Flood],
            Sort::Grown => &[Grow, KillRegistry, KillRouter, FreezeRouter, CutOne, LoseDisk],
            Sort::Resets => &[
                ResetLinks,
                ResetLinks,
                ResetLinks,
                ResetLinks,
                ResetLinks,
                ResetLinks,
                Garble,
                Garble,
                LoseAnswers,
                KillRouter,
                FreezeRouter,
                LeaveRouter,
                Worker,
                Crowd,
            ],
            Sort::Operators => &[
                KillRegistry,
                KillCore,
                FreezeRegistry,
                StallDisk,
                LoseDisk,
                StopRegistry,
                CutOne,
                CutCore,
                CutInside,
                CutInside,
                CutPair,
                SlowLinks,
            ],
            Sort::Mixed | Sort::Storm => &[
                KillRegistry,
                KillCore,
                FreezeRegistry,
                StallDisk,
                FillDisk,
                LoseDisk,
                KillRouter,
                KillRouter,
                KillZone,
                KillRouters,
                KillAll,
                FreezeRouter,
                FreezeRouter,
                FreezeHerd,
                CutOne,
                CutCore,
                CutSome,
                CutInside,
                CutPair,
                CutZone,
                SlowLinks,
                LoseAnswers,
                Garble,
                Worker,
                LeaveRouter,
                StopRegistry,
                Crowd,
                Overload,
                Eager,
                MoveSeeds,
            ],
        }
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub sort: Sort,
    pub registries: usize,
    /// How many registries may be lost with their disks at once.
    pub losses: usize,
    pub routers: usize,
    pub functions: usize,
    pub limit: u32,
    pub bouts: [(Duration, Duration); 2],
    pub final_fault: Duration,
    pub callers_end: Duration,
    pub end: Duration,
    pub rate: f64,
    pub instances: usize,
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
            functions: if sort == Sort::Wake { 60 } else { 8 },
            limit: if sort == Sort::Wake { 1 } else { 3 },
            bouts: match sort {
                // Many requests at a time, for a shorter run.
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
        }
    }

    pub fn in_bout(&self, now: Duration) -> bool {
        self.bouts.iter().any(|(from, to)| *from <= now && now < *to)
    }
}
