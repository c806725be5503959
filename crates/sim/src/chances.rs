//! What a run is made of: how long, how many nodes, which sorts of failure, and when. Failures come
//! in two bouts with a calm after each, so that what service came back to can be judged second by
//! second; every run ends with all registries losing power at once.

use std::ops::Range;
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
    Changes,
}

const WORDS: [(&str, Sort); 14] = [
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
    ("changes", Sort::Changes),
];

/// One failure and its drawing by weight: a sort names what may happen in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    KillRegistry,
    KillCore,
    FreezeRegistry,
    StallDisk,
    FillDisk,
    /// Full for a while, and free again under the same process.
    FillDiskForAWhile,
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
}

impl Sort {
    pub fn from_word(word: &str) -> Option<Sort> {
        WORDS.iter().find(|(known, _)| *known == word).map(|(_, sort)| *sort)
    }

    pub fn words() -> String {
        WORDS.map(|(word, _)| word).join(", ")
    }

    pub fn kinds(self) -> &'static [Kind] {
        use Kind::*;
        match self {
            Sort::Calm => &[],
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
            Sort::Changes => &[
                KillRegistry,
                FreezeRegistry,
                StallDisk,
                FillDisk,
                FillDiskForAWhile,
                FillDiskForAWhile,
                LoseDisk,
                KillRouter,
                CutOne,
                Grow,
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
    pub routers: usize,
    pub functions: usize,
    pub limit: u32,
    pub bouts: [(Duration, Duration); 2],
    pub final_fault: Duration,
    pub callers_end: Duration,
    pub end: Duration,
    pub rate: f64,
    pub instances: usize,
    /// Between two changes of the configuration, in milliseconds.
    pub change_pause_ms: Range<u64>,
}

impl Plan {
    pub fn new(seed: u64, sort: Sort) -> Plan {
        let seconds = Duration::from_secs;
        Plan {
            sort,
            routers: if matches!(sort, Sort::Storm | Sort::Wake) { 5 } else { 3 + (seed % 3) as usize },
            functions: if sort == Sort::Wake { 60 } else { 8 },
            limit: if sort == Sort::Wake { 1 } else { 3 },
            bouts: [(seconds(12), seconds(22)), (seconds(46), seconds(54))],
            final_fault: seconds(76),
            callers_end: seconds(80),
            end: seconds(94),
            rate: 25.0,
            instances: match sort {
                Sort::Crowd => 9,
                Sort::Wake => 70,
                Sort::Flood => 16,
                _ => usize::MAX,
            },
            change_pause_ms: if sort == Sort::Changes { 60..240 } else { 300..3000 },
        }
    }

    pub fn in_bout(&self, now: Duration) -> bool {
        self.bouts.iter().any(|(from, to)| *from <= now && now < *to)
    }
}
