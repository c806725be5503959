//! Accounting of the memory that a process holds on behalf of others. A [`MemoryBudget`] limits the bytes of one purpose;
//! a [`Reservation`] takes a part of it and gives it back when it is dropped, so that no path can forget to. Bytes can
//! own their reservation, which then lasts as long as the last clone or slice of them.

#![warn(missing_docs)]

mod budget;
mod reservation;

pub use budget::MemoryBudget;
pub use reservation::Reservation;
