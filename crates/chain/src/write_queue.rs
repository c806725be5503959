//! Queue of disk writes. One write is in progress at a time; changes that arrive meanwhile are collected into the
//! next. Messages that make a promise are sent only after the write that contains the promise is synced.

use crate::types::{Batch, Change, Meta, Output, State};
use std::time::Duration;
use wire::LogEntry;

/// Write that was passed to the disk.
#[derive(Clone)]
pub struct Write {
    /// Number that the report of the synced write repeats.
    pub ticket: u64,
    /// Newest entry in the write.
    pub last: u64,
    /// State after that entry.
    pub state: State,
    /// Outputs to release once the write is synced.
    pub on_synced: Vec<Output>,
    /// When the write was passed to the disk.
    pub started_at: Duration,
    /// Whether the write completes a catch-up from another replica.
    pub completes_catch_up: bool,
}

/// The write in progress, and the next one that is being collected.
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
    /// Creates an empty queue for a disk that holds entries from `trim_below` up to `last`.
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

    /// Continues the ticket numbers of an earlier queue, since reports of its writes may still arrive.
    pub fn continue_tickets(&mut self, earlier: &WriteQueue) {
        self.last_ticket = earlier.last_ticket;
    }

    /// Adds an entry and its changes of the state to the next write.
    pub fn add_entry(&mut self, entry: LogEntry, changes: Vec<Change>, trim_below: u64) {
        self.next.last = entry.seq;
        self.next.changes.extend(changes);
        self.next.trim_below = trim_below;
        self.next.entries.push(entry);
        self.is_dirty = true;
    }

    /// Adds identity, view and votes to the next write, with the outputs to release once it is synced.
    pub fn add_meta(&mut self, meta: Meta, on_synced: Vec<Output>) {
        self.next.meta = Some(meta);
        self.next_on_synced.extend(on_synced);
        self.is_dirty = true;
    }

    /// Makes the next write replace everything on disk, which completes a catch-up.
    pub fn replace_all(&mut self, batch: Batch) {
        self.next = batch;
        self.is_dirty = true;
        self.next_completes_catch_up = true;
    }

    /// Marks the next write as the one whose entries complete a catch-up.
    pub fn complete_catch_up(&mut self) {
        self.next_completes_catch_up = true;
    }

    /// Returns whether a write that completes a catch-up is being collected or in progress.
    pub fn is_completing_catch_up(&self) -> bool {
        self.next_completes_catch_up || self.in_progress.as_ref().is_some_and(|write| write.completes_catch_up)
    }

    /// Returns whether no write is in progress.
    pub fn is_idle(&self) -> bool {
        self.in_progress.is_none()
    }

    /// Starts the next write, if there is something to write and no write is in progress.
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

    /// Finishes the write in progress and returns it, if it has this ticket.
    pub fn finish(&mut self, ticket: u64) -> Option<Write> {
        self.in_progress.take_if(|write| write.ticket == ticket)
    }

    /// Records that a write failed.
    pub fn fail(&mut self) {
        self.has_failed = true;
    }

    /// Returns whether a write has failed.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns whether the write in progress has taken longer than `limit`.
    pub fn is_stalled(&self, now: Duration, limit: Duration) -> bool {
        self.in_progress.as_ref().is_some_and(|write| now > write.started_at + limit)
    }

    pub(crate) fn in_progress(&self) -> Option<&Write> {
        self.in_progress.as_ref()
    }

    pub(crate) fn next(&self) -> (&Batch, &[Output]) {
        (&self.next, &self.next_on_synced)
    }

    pub(crate) fn digest_fields(&self) -> (bool, bool, u64, bool) {
        (self.is_dirty, self.next_completes_catch_up, self.last_ticket, self.has_failed)
    }
}
