//! A number of bytes from which reservations are made.

use std::cell::Cell;
use std::rc::Rc;

use snafu::Snafu;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Less than the requested bytes are left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{requested} bytes were requested, {available} are left"))]
pub struct BudgetExhausted {
    /// The bytes requested.
    pub requested: usize,
    /// The bytes left.
    pub available: usize,
}

/// A number of bytes that reservations share. Clones share the same bytes.
#[derive(Clone, Debug)]
pub struct ByteBudget(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    total: usize,
    reserved: Cell<usize>,
    released: Notify,
}

/// Bytes of a budget, returned when this is dropped.
#[derive(Debug)]
#[must_use = "a dropped reservation returns its bytes"]
pub struct Reservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// A budget of `total` bytes, none of them reserved.
    pub fn new(total: usize) -> Self {
        ByteBudget(Rc::new(Inner { total, reserved: Cell::new(0), released: Notify::new() }))
    }

    /// All bytes of the budget, in bytes.
    pub fn total(&self) -> usize {
        self.0.total
    }

    /// The bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// Reserves bytes, if they are left.
    ///
    /// # Errors
    ///
    /// [`BudgetExhausted`] if they are not; nothing is reserved then.
    pub fn try_reserve(&self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        let mut reservation = Reservation { budget: self.clone(), bytes: 0 };
        reservation.try_grow(bytes)?;
        Ok(reservation)
    }

    /// Completes once bytes are returned after this call.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.0.released.notified()
    }
}

impl Reservation {
    /// The bytes of this reservation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds bytes to the reservation, if they are left.
    ///
    /// # Errors
    ///
    /// [`BudgetExhausted`] if they are not; the reservation stays as it is.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let inner = &self.budget.0;
        let available = inner.total - inner.reserved.get();
        if bytes > available {
            return Err(BudgetExhausted { requested: bytes, available });
        }
        inner.reserved.set(inner.reserved.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }

    /// Moves the bytes of another reservation of the same budget into this one.
    pub fn merge(&mut self, mut other: Reservation) {
        debug_assert!(Rc::ptr_eq(&self.budget.0, &other.budget.0), "both are of one budget");
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let inner = &self.budget.0;
        inner.reserved.set(inner.reserved.get() - self.bytes);
        inner.released.notify_waiters();
    }
}
