//! Memory for responses of instances. A response that is larger than a few kilobytes is read once the budget has room for
//! all of it; until then its instance waits, and the time left for the request goes on.

use memory::{MemoryBudget, Reservation};
use std::rc::Rc;
use std::time::Duration;

/// Size up to which a response body is read without a reservation.
pub const UNRESERVED_ANSWER_BYTES: usize = 16 * 1024;
/// Interval at which a shortage is reported again while a response waits.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Budget for the bodies of responses, and whom to tell of a shortage.
#[derive(Clone)]
pub struct AnswerMemory {
    budget: MemoryBudget,
    report_shortage: Rc<dyn Fn(usize)>,
}

impl AnswerMemory {
    /// Returns the memory for responses; `report_shortage` gets the bytes that are missing.
    pub fn new(budget: MemoryBudget, report_shortage: Rc<dyn Fn(usize)>) -> AnswerMemory {
        AnswerMemory { budget, report_shortage }
    }

    /// Returns memory that is practically never used up.
    pub fn unlimited() -> AnswerMemory {
        AnswerMemory::new(MemoryBudget::unlimited(), Rc::new(|_| {}))
    }

    /// Waits until the bytes are reserved; `None` if there are never that many.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.budget.reserve_reporting(bytes, REPORT_INTERVAL, self.report_shortage.as_ref()).await
    }
}
