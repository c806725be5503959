//! The sorts of runs and the weighted mix of faults that each draws from. Faults come in two phases with a quiet
//! time after each, so that the recovered throughput can be checked second by second; every run ends with a
//! power loss of all registries at once, or on the control plane's sorts with a final triggered fault.

/// Named mix of faults, chosen with `--sort`.
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
    Changes,
    Restarts,
    /// Consumers with API keys, on every class of binding.
    Consumers,
}

const WORDS: [(&str, Sort); 21] = [
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
    ("changes", Sort::Changes),
    ("restarts", Sort::Restarts),
    ("consumers", Sort::Consumers),
];

/// One kind of fault. A sort lists a kind several times to give it more weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    KillRegistry,
    KillCore,
    FreezeRegistry,
    StallDisk,
    FillDisk,
    /// A disk is full for a while and has room again without a restart of the process.
    FillDiskForAWhile,
    LoseDisk,
    KillRouter,
    KillZone,
    KillRouters,
    KillAll,
    FreezeRouter,
    FreezeHalf,
    CutOne,
    CutCore,
    CutSome,
    CutInside,
    CutPair,
    CutZone,
    SlowLinks,
    LoseAnswers,
    GarbleAnswers,
    WorkerFault,
    LeaveRouter,
    StopRegistry,
    Crowd,
    Overload,
    EagerRetries,
    GrowConfiguration,
    MoveSeeds,
    Wake,
    Flood,
    ResetLinks,
    /// A new configuration removes a consumer's API key while callers keep using it.
    RevokeApiKey,
    /// One consumer sends far more requests than usual.
    HotConsumer,
    /// Links between processes lose packets.
    LossyLinks,
    /// All connections of a router are reset.
    ResetConnections,
    Control(crate::control_faults::ControlFault),
}

impl Sort {
    /// Returns the sort with this name.
    pub fn from_word(word: &str) -> Option<Sort> {
        WORDS.iter().find(|(known, _)| *known == word).map(|(_, sort)| *sort)
    }

    /// Returns the names of all sorts, separated by commas.
    pub fn words() -> String {
        WORDS.map(|(word, _)| word).join(", ")
    }

    /// Whether the sort tests faults of the control plane, with longer fault phases and more registries.
    pub fn is_on_control(self) -> bool {
        matches!(self, Sort::Cutoff | Sort::Replacement | Sort::Anything)
    }

    /// Returns the kinds of fault that the sort draws from, except those of the control plane's sorts.
    pub fn kinds(self) -> &'static [FaultKind] {
        use FaultKind::*;
        match self {
            Sort::Calm | Sort::Cutoff | Sort::Replacement | Sort::Anything | Sort::Restarts => &[],
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
            Sort::Routers => &[KillRouter, KillRouter, KillZone, FreezeRouter, LoseAnswers, GarbleAnswers, WorkerFault],
            Sort::Network => &[CutOne, CutCore, CutSome, CutInside, CutPair, CutZone, SlowLinks],
            Sort::Planned => &[LeaveRouter, StopRegistry],
            Sort::Consumers => &[
                RevokeApiKey,
                RevokeApiKey,
                RevokeApiKey,
                HotConsumer,
                HotConsumer,
                LossyLinks,
                LossyLinks,
                ResetConnections,
                ResetConnections,
                KillRegistry,
                KillCore,
                FreezeRegistry,
                LoseDisk,
                KillRouter,
                KillRouter,
                KillZone,
                FreezeRouter,
                CutOne,
                CutSome,
                CutPair,
                SlowLinks,
                LoseAnswers,
                WorkerFault,
                LeaveRouter,
                Crowd,
            ],
            Sort::Crowd => &[Crowd],
            Sort::Overload => &[Overload, Overload, Crowd, KillRouter, FreezeRouter, LeaveRouter],
            Sort::Herd => &[KillAll, KillRouters, KillCore, FreezeHalf, KillZone, EagerRetries],
            Sort::Wake => &[Wake],
            Sort::Flood => &[Flood],
            Sort::Grown => &[GrowConfiguration, KillRegistry, KillRouter, FreezeRouter, CutOne, LoseDisk],
            Sort::Resets => &[
                ResetLinks,
                ResetLinks,
                ResetLinks,
                ResetLinks,
                ResetLinks,
                ResetLinks,
                GarbleAnswers,
                GarbleAnswers,
                LoseAnswers,
                KillRouter,
                FreezeRouter,
                LeaveRouter,
                WorkerFault,
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
                GrowConfiguration,
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
                FreezeHalf,
                CutOne,
                CutCore,
                CutSome,
                CutInside,
                CutPair,
                CutZone,
                SlowLinks,
                LoseAnswers,
                GarbleAnswers,
                WorkerFault,
                LeaveRouter,
                StopRegistry,
                Crowd,
                Overload,
                EagerRetries,
                MoveSeeds,
            ],
        }
    }
}
