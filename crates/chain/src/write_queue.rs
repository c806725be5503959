//! What is to be written to disk. One write is in progress at a time; whatever arrives meanwhile joins the
//! next. Messages that promise something leave only after the write that holds the promise is synced.

use crate::types::{Batch, Change, Meta, Output, State};
use std::time::Duration;
use wire::LogEntry;

/// A write that was handed to the disk.
#[derive(Clone)]
pub struct Write {
    /// Pairs the write with the report that it is synced.
    pub ticket: u64,
    /// The newest entry in it.
    pub last: u64,
    /// The state after that entry.
    pub state: State,
    /// What may leave once it is synced.
    pub on_synced: Vec<Output>,
    /// When it was handed over.
    pub started_at: Duration,
    /// Whether it completes a catch-up from another replica.
    pub completes_catch_up: bool,
}

/// The write in progress, and the one being gathered.
#[derive(Clone)]
pub struct WriteQueue {
    next: Batch,
    next_on_synced: Vec<Output>,
    next_completes_catch_up: bool,
    is_dirty: bool,
    last_ticket: u64,
    in_progress: Option<Write>,
    has_failed: bool,
}

impl WriteQueue {
    /// An empty queue behind a disk that holds entries up to `last`, none of them below `trim_below`.
    pub fn new(last: u64, trim_below: u64) -> Self {
        WriteQueue {
            next: Batch { trim_below, last, ..Batch::default() },
            next_on_synced: Vec::new(),
            next_completes_catch_up: false,
            is_dirty: false,
            last_ticket: 0,
            in_progress: None,
            has_failed: false,
        }
    }

    /// Numbers of writes go on from those of an earlier queue, whose reports may still come.
    pub fn continue_tickets(&mut self, earlier: &WriteQueue) {
        self.last_ticket = earlier.last_ticket;
    }

    /// Adds an entry and what it changed to the next write.
    pub fn add_entry(&mut self, entry: LogEntry, changes: Vec<Change>, trim_below: u64) {
        self.next.last = entry.seq;
        self.next.changes.extend(changes);
        self.next.trim_below = trim_below;
        self.next.entries.push(entry);
        self.is_dirty = true;
    }

    /// Puts the identity, view and votes into the next write, and what may leave only after it.
    pub fn add_meta(&mut self, meta: Meta, on_synced: Vec<Output>) {
        self.next.meta = Some(meta);
        self.next_on_synced.extend(on_synced);
        self.is_dirty = true;
    }

    /// The next write replaces everything on disk, which completes a catch-up.
    pub fn replace_all(&mut self, batch: Batch) {
        self.next = batch;
        self.is_dirty = true;
        self.next_completes_catch_up = true;
    }

    /// The next write completes a catch-up by the entries in it.
    pub fn complete_catch_up(&mut self) {
        self.next_completes_catch_up = true;
    }

    /// Whether a write that completes a catch-up is gathered or in progress.
    pub fn is_completing_catch_up(&self) -> bool {
        self.next_completes_catch_up || self.in_progress.as_ref().is_some_and(|write| write.completes_catch_up)
    }

    /// Whether nothing is being written.
    pub fn is_idle(&self) -> bool {
        self.in_progress.is_none()
    }

    /// Starts the next write, if there is something to write and nothing is being written.
    pub fn start_next(&mut self, now: Duration, last: u64, state: &State, known_committed: u64) -> Option<Output> {
        if !self.is_dirty || self.in_progress.is_some() {
            return None;
        }
        self.is_dirty = false;
        self.last_ticket += 1;
        self.next.known_committed = known_committed;
        let following = Batch { last, trim_below: self.next.trim_below, ..Batch::default() };
        let batch = std::mem::replace(&mut self.next, following);
        self.in_progress = Some(Write {
            ticket: self.last_ticket,
            last,
            state: state.clone(),
            on_synced: std::mem::take(&mut self.next_on_synced),
            started_at: now,
            completes_catch_up: std::mem::take(&mut self.next_completes_catch_up),
        });
        Some(Output::Write { ticket: self.last_ticket, batch })
    }

    /// Ends the write of this ticket, if it is the one in progress.
    pub fn finish(&mut self, ticket: u64) -> Option<Write> {
        self.in_progress.take_if(|write| write.ticket == ticket)
    }

    /// The disk refused a write.
    pub fn fail(&mut self) {
        self.has_failed = true;
    }

    /// Whether the disk refused a write.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether the write in progress has taken longer than this.
    pub fn is_stalled(&self, now: Duration, limit: Duration) -> bool {
        self.in_progress.as_ref().is_some_and(|write| now > write.started_at + limit)
    }

    pub(crate) fn in_progress(&self) -> Option<&Write> {
        self.in_progress.as_ref()
    }

    pub(crate) fn next(&self) -> (&Batch, &[Output]) {
        (&self.next, &self.next_on_synced)
    }

    pub(crate) fn flags(&self) -> (bool, bool, u64, bool) {
        (self.is_dirty, self.next_completes_catch_up, self.last_ticket, self.has_failed)
    }
}
