//! The budget of events in a run.

/// Number of events of each kind that a run may still contain.
#[derive(Clone, Debug, Hash)]
pub struct Budget {
    /// Proposed changes.
    pub entries: u32,
    /// Read confirmations requested from a tail.
    pub confirms: u32,
    /// Process crashes.
    pub crashes: u32,
    /// Losses of a disk.
    pub wipes: u32,
    /// Lost messages.
    pub drops: u32,
    /// Periods in which a machine is frozen or cut off.
    pub silences: u32,
    /// Advances of the clocks.
    pub passes: u32,
    /// Planned leaves.
    pub leaves: u32,
    /// Joins of a new machine.
    pub joins: u32,
}
