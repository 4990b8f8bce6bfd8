//! Memory for what servers send, summed over connections.
//!
//! Each response is bounded where it is read. Many large ones at once could still use up the memory of
//! the instance, so they share a budget. Small responses are not counted: those of sound servers go on
//! while faulty ones use up the budget.
//!
//! ```
//! use std::rc::Rc;
//! use sardineshore_serve::budget::{ReceiveBudget, Reservation, UNCOUNTED_BYTES};
//!
//! let budget = Rc::new(ReceiveBudget::new(1000));
//! let mut first = Reservation::new(&budget);
//! assert!(first.resize(UNCOUNTED_BYTES + 900).is_ok());
//! let mut second = Reservation::new(&budget);
//! assert!(second.resize(UNCOUNTED_BYTES + 200).is_err());
//! assert!(second.resize(UNCOUNTED_BYTES).is_ok());
//! drop(first);
//! assert!(second.resize(UNCOUNTED_BYTES + 200).is_ok());
//! ```

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of each response that don't count.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Limit of a budget unless another one is set, in bytes.
const DEFAULT_LIMIT: usize = 32 * 1024 * 1024;

/// There is no room for a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory for the response beside others")]
pub struct BudgetExceeded;

/// Number of bytes that all counted parts of responses may use together.
#[derive(Debug)]
pub struct ReceiveBudget {
    limit: usize,
    used: Cell<usize>,
}

impl Default for ReceiveBudget {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT)
    }
}

impl ReceiveBudget {
    /// A budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Cell::new(0),
        }
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// The part of a budget that one response uses; it is given back when this is dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    budget: Rc<ReceiveBudget>,
    counted: usize,
}

impl Reservation {
    /// A reservation of nothing.
    #[must_use]
    pub fn new(budget: &Rc<ReceiveBudget>) -> Self {
        Self {
            budget: budget.clone(),
            counted: 0,
        }
    }

    /// Changes the reservation to a response of which `bytes` are held.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no room for it; the reservation stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let used = self.budget.used.get() - self.counted + counted;
        if counted > self.counted && used > self.budget.limit {
            return Err(BudgetExceeded);
        }
        self.budget.used.set(used);
        self.counted = counted;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.counted);
    }
}
