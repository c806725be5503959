//! Reads the body of a caller's request, in one growing buffer whose memory is reserved before it is allocated. A body
//! that finds no memory waits, which holds up its sender, while bodies that have stalled give way.

use crate::caller_limits::CallerLimits;
use crate::memory_plan::{MemoryNeed, RequestMemory};
use axum::body::{Body, HttpBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use http_server::{ConnectionHandle, Phase, Shortage, ShortageReporter};
use memory::Reservation;
use std::time::Duration;
use tokio::time::timeout;

/// Size up to which a body takes part of its connection's memory and needs no reservation.
pub const UNRESERVED_BODY_BYTES: usize = 8 * 1024;
/// Interval at which a shortage is reported again while a body waits for memory.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It did not arrive in time.
    TooSlow,
    /// The connection failed, or the body is malformed.
    Cut,
    /// There is no memory for it, or it had to give way to others.
    NoMemory,
}

/// Reader of one body.
pub struct BodyReader<'a> {
    /// Memory for requests of callers.
    pub memory: &'a RequestMemory,
    /// Reporter of shortages of that memory.
    pub shortages: &'a ShortageReporter,
    /// Connection on which the body arrives.
    pub connection: &'a ConnectionHandle,
}

/// A body as far as it has arrived.
#[derive(Default)]
struct PartialBody {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
}

impl BodyReader<'_> {
    /// Reads a complete body within the limits. A large one owns the reservation of its memory.
    pub async fn read(&self, body: Body, limits: &CallerLimits) -> Result<Bytes, BodyError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        self.within_time(limits.body_time, self.collect(body, limits.body_bytes)).await
    }

    /// Reserves the memory that a complete request needs beside the reservation of its body. A small one is refused if
    /// there is none; a large one waits, like its body.
    pub async fn reserve_request(&self, need: MemoryNeed, limits: &CallerLimits) -> Result<Reservation, BodyError> {
        if !need.is_large {
            return self.memory.try_reserve(need).ok_or(BodyError::NoMemory);
        }
        let reserve = async { self.reserve(need.bytes).await.ok_or(BodyError::NoMemory) };
        self.within_time(limits.body_time, reserve).await
    }

    /// Waits for a part of a request, but not when the time is over or its connection has to give way.
    async fn within_time<T>(
        &self,
        time: Duration,
        part: impl Future<Output = Result<T, BodyError>>,
    ) -> Result<T, BodyError> {
        self.connection.enter(Phase::Body);
        let result = tokio::select! {
            biased;
            result = timeout(time, part) => result.unwrap_or(Err(BodyError::TooSlow)),
            () = self.connection.asked_to_give_up_body() => Err(BodyError::NoMemory),
        };
        self.connection.enter(Phase::Application);
        result
    }

    async fn collect(&self, mut body: Body, max_bytes: usize) -> Result<Bytes, BodyError> {
        let declared_bytes = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        if declared_bytes.is_some_and(|length| length > max_bytes) {
            return Err(BodyError::TooLong);
        }
        let expected_bytes = declared_bytes.unwrap_or(max_bytes);
        let mut partial = PartialBody::default();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Cut)?.into_data() else { continue };
            let needed_bytes = partial.bytes.len() + data.len();
            if needed_bytes > max_bytes {
                return Err(BodyError::TooLong);
            }
            self.grow(&mut partial, needed_bytes, expected_bytes).await?;
            partial.bytes.extend_from_slice(&data);
            self.connection.body_progressed(partial.reserved_bytes());
        }
        Ok(partial.into_bytes())
    }

    /// Makes room for so many bytes in all. The buffer doubles, up to the expected length, so that its sender pays for a
    /// length as it sends it.
    async fn grow(
        &self,
        partial: &mut PartialBody,
        needed_bytes: usize,
        expected_bytes: usize,
    ) -> Result<(), BodyError> {
        let capacity = partial.bytes.capacity();
        if needed_bytes <= capacity {
            return Ok(());
        }
        let new_capacity = (2 * capacity).min(expected_bytes).max(needed_bytes);
        if new_capacity > UNRESERVED_BODY_BYTES {
            let missing_bytes = new_capacity - partial.reserved_bytes();
            let reservation = self.reserve(missing_bytes).await.ok_or(BodyError::NoMemory)?;
            match &mut partial.reservation {
                Some(reserved) => reserved.merge(reservation),
                None => partial.reservation = Some(reservation),
            }
        }
        partial.bytes.reserve_exact(new_capacity - partial.bytes.len());
        Ok(())
    }

    async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let report = |bytes| self.shortages.report(Shortage::BodyBytes(bytes));
        self.memory.large().reserve_reporting(bytes, REPORT_INTERVAL, report).await
    }
}

impl PartialBody {
    fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, Reservation::bytes)
    }

    fn into_bytes(self) -> Bytes {
        match self.reservation {
            Some(reservation) => reservation.attach_to(self.bytes),
            None => self.bytes.into(),
        }
    }
}

#[cfg(test)]
#[path = "caller_body_tests.rs"]
mod tests;
