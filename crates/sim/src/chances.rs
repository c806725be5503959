//! What a run is made of: how long, how many nodes, which sorts of failure.

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
}

impl Sort {
    pub fn from_word(word: &str) -> Option<Sort> {
        Some(match word {
            "calm" => Sort::Calm,
            "core" => Sort::Core,
            "routers" => Sort::Routers,
            "network" => Sort::Network,
            "mixed" => Sort::Mixed,
            "planned" => Sort::Planned,
            "crowd" => Sort::Crowd,
            "storm" => Sort::Storm,
            _ => return None,
        })
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub sort: Sort,
    pub routers: usize,
    pub functions: usize,
    pub faults_from: Duration,
    pub faults_to: Duration,
    pub end: Duration,
    pub rate: f64,
    pub instances: usize,
}

impl Plan {
    pub fn new(seed: u64, sort: Sort) -> Plan {
        let seconds = Duration::from_secs;
        Plan {
            sort,
            routers: if sort == Sort::Storm { 5 } else { 3 + (seed % 3) as usize },
            functions: 8,
            faults_from: seconds(8),
            faults_to: seconds(34),
            end: seconds(75),
            rate: 25.0,
            instances: if sort == Sort::Crowd { 9 } else { usize::MAX },
        }
    }
}
