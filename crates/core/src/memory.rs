//! Accounts for the memory that is held for the requests of clients.
//!
//! All connections share one [`MemoryBudget`], so that the number of clients does not decide how
//! much memory the process uses. A connection has a limit of its own and an allowance that is not
//! taken from the budget. The allowance suffices for a request of usual size, which is therefore
//! accepted even if other clients have used up the budget.

use std::cell::Cell;
use std::rc::Rc;

/// Memory that each connection may hold without taking it from the budget, in bytes.
pub const CONNECTION_ALLOWANCE_BYTES: usize = 4 * 1024;
/// Maximum memory that is held for the requests of one connection, in bytes.
pub const MAX_CONNECTION_BYTES: usize = 256 * 1024;

/// Memory that an allocation takes beyond its size, at most, in bytes.
pub(crate) const ALLOCATION_OVERHEAD_BYTES: usize = 24;

/// Why memory cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReservationError {
    /// The connection would hold more than [`MAX_CONNECTION_BYTES`].
    #[error("the connection holds too much memory")]
    ConnectionLimit,
    /// The budget of the process is used up.
    #[error("all connections together hold too much memory")]
    BudgetExhausted,
}

/// The memory that all connections may hold together, apart from their allowances. All clones refer
/// to the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    limit: usize,
    used: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        let used = Cell::new(0);
        MemoryBudget(Rc::new(BudgetState { limit, used }))
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Starts the account of a connection that holds nothing yet.
    pub fn open_account(&self) -> ConnectionMemory {
        ConnectionMemory(Rc::new(ConnectionState {
            budget: self.clone(),
            held: Cell::new(0),
        }))
    }

    /// Replaces `before` bytes by `after` bytes.
    fn exchange(&self, before: usize, after: usize) -> Result<(), ReservationError> {
        let used = self.0.used.get() - before + after;
        if after > before && used > self.0.limit {
            return Err(ReservationError::BudgetExhausted);
        }
        self.0.used.set(used);
        Ok(())
    }
}

/// The memory that one connection holds. All clones refer to the same connection.
#[derive(Clone, Debug)]
pub struct ConnectionMemory(Rc<ConnectionState>);

#[derive(Debug)]
struct ConnectionState {
    budget: MemoryBudget,
    held: Cell<usize>,
}

impl ConnectionMemory {
    /// Returns a reservation of 0 bytes.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation {
            connection: self.clone(),
            bytes: 0,
        }
    }

    /// Reserves memory until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit would be exceeded. Nothing is reserved then.
    pub fn reserve(&self, bytes: usize) -> Result<MemoryReservation, ReservationError> {
        let mut reservation = self.empty_reservation();
        reservation.resize(bytes)?;
        Ok(reservation)
    }

    /// Replaces `before` bytes by `after` bytes.
    fn exchange(&self, before: usize, after: usize) -> Result<(), ReservationError> {
        let held_before = self.0.held.get();
        let held = held_before - before + after;
        if after > before && held > MAX_CONNECTION_BYTES {
            return Err(ReservationError::ConnectionLimit);
        }
        let beyond_allowance = |held: usize| held.saturating_sub(CONNECTION_ALLOWANCE_BYTES);
        self.0
            .budget
            .exchange(beyond_allowance(held_before), beyond_allowance(held))?;
        self.0.held.set(held);
        Ok(())
    }
}

/// Memory that is reserved until this value is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    connection: ConnectionMemory,
    bytes: usize,
}

impl MemoryReservation {
    /// Changes the size of the reservation. A reservation can always be made smaller.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit would be exceeded. The reservation keeps its size then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ReservationError> {
        self.connection.exchange(self.bytes, bytes)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        // Cannot fail, since the reservation becomes smaller.
        let _ = self.resize(0);
    }
}
