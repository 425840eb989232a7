//! The accounts of the memory budget. Whoever wants to hold more reserves it first, and holds a permit meanwhile.

use super::{MemoryPlan, MemoryUser};
use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::rc::Rc;

/// A reservation that does not fit into the share of its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget of the {} is used up", user.name())]
pub struct OutOfMemory {
    /// The user whose share is used up.
    pub user: MemoryUser,
}

/// What an account holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountReport {
    /// The user of the account.
    pub user: MemoryUser,
    /// What its permits add up to, in bytes.
    pub used_bytes: usize,
    /// What they may add up to, in bytes.
    pub share_bytes: usize,
}

/// The account of one user.
#[derive(Debug, Default)]
struct Account {
    used_bytes: Cell<usize>,
    share_bytes: Cell<usize>,
    /// Notified when bytes are given back or the share grows.
    released: Event,
}

/// The accounts of all users of memory.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    accounts: [Account; MemoryUser::ALL.len()],
}

impl MemoryBudget {
    /// A budget with the shares of a plan.
    pub fn new(plan: &MemoryPlan) -> Rc<Self> {
        let budget = MemoryBudget::default();
        budget.set_shares(plan);
        Rc::new(budget)
    }

    /// Changes the shares to those of a plan.
    pub fn set_shares(&self, plan: &MemoryPlan) {
        MemoryUser::ALL.into_iter().for_each(|user| self.set_share(user, plan.share_bytes(user)));
    }

    fn account(&self, user: MemoryUser) -> &Account {
        &self.accounts[user as usize]
    }

    /// Changes the share of a user. If its permits add up to more, no further one is given until enough were dropped.
    pub fn set_share(&self, user: MemoryUser, bytes: usize) {
        let account = self.account(user);
        account.share_bytes.set(bytes);
        account.released.notify(usize::MAX);
    }

    /// Reserves bytes for a user.
    ///
    /// # Errors
    ///
    /// Returns an error if they do not fit into the user's share.
    pub fn reserve(self: &Rc<Self>, user: MemoryUser, bytes: usize) -> Result<MemoryPermit, OutOfMemory> {
        let mut permit = self.empty_permit(user);
        permit.grow(bytes)?;
        Ok(permit)
    }

    /// Records bytes that a user holds already, whether they fit or not: what an earlier process has accepted cannot be refused.
    pub fn record(self: &Rc<Self>, user: MemoryUser, bytes: usize) -> MemoryPermit {
        let mut permit = self.empty_permit(user);
        permit.add(bytes);
        permit
    }

    /// A permit without any bytes.
    pub fn empty_permit(self: &Rc<Self>, user: MemoryUser) -> MemoryPermit {
        MemoryPermit { budget: self.clone(), user, bytes: 0 }
    }

    /// What the permits of a user add up to, in bytes.
    pub fn used_bytes(&self, user: MemoryUser) -> usize {
        self.account(user).used_bytes.get()
    }

    /// What the permits of a user may add up to, in bytes.
    pub fn share_bytes(&self, user: MemoryUser) -> usize {
        self.account(user).share_bytes.get()
    }

    /// What all permits add up to, in bytes.
    pub fn total_used_bytes(&self) -> usize {
        MemoryUser::ALL.into_iter().map(|user| self.used_bytes(user)).sum()
    }

    /// The state of each account.
    pub fn report(&self) -> impl Iterator<Item = AccountReport> + '_ {
        MemoryUser::ALL.into_iter().map(|user| AccountReport {
            user,
            used_bytes: self.used_bytes(user),
            share_bytes: self.share_bytes(user),
        })
    }

    /// Listens for bytes that a user gives back, or for more share of it, from this call on.
    pub fn listen(&self, user: MemoryUser) -> EventListener {
        self.account(user).released.listen()
    }
}

/// Bytes that a user of memory may hold. Dropping it gives them back.
#[derive(Debug)]
pub struct MemoryPermit {
    budget: Rc<MemoryBudget>,
    user: MemoryUser,
    bytes: usize,
}

impl MemoryPermit {
    /// The bytes of this permit.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The user whose bytes these are.
    pub fn user(&self) -> MemoryUser {
        self.user
    }

    /// Moves all bytes into a permit of their own, which is returned.
    pub fn take(&mut self) -> MemoryPermit {
        let empty = self.budget.empty_permit(self.user);
        std::mem::replace(self, empty)
    }

    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if they do not fit into the user's share; the permit is then as before.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let account = self.budget.account(self.user);
        let needed = account.used_bytes.get().checked_add(bytes);
        if needed.is_none_or(|needed| needed > account.share_bytes.get()) && bytes > 0 {
            return Err(OutOfMemory { user: self.user });
        }
        self.add(bytes);
        Ok(())
    }

    fn add(&mut self, bytes: usize) {
        let account = self.budget.account(self.user);
        account.used_bytes.set(account.used_bytes.get() + bytes);
        self.bytes += bytes;
    }

    /// Gives back all but so many bytes. A permit with fewer stays as it is.
    pub fn shrink_to(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        if returned == 0 {
            return;
        }
        let account = self.budget.account(self.user);
        account.used_bytes.set(account.used_bytes.get() - returned);
        self.bytes -= returned;
        account.released.notify(1);
    }

    /// Passes the bytes to another user.
    ///
    /// # Errors
    ///
    /// Returns an error if they do not fit into the other user's share; the permit then stays with its present user.
    pub fn transfer(&mut self, user: MemoryUser) -> Result<(), OutOfMemory> {
        if user != self.user {
            let transferred = self.budget.reserve(user, self.bytes)?;
            *self = transferred;
        }
        Ok(())
    }

    /// Splits off some of the bytes, at most all of them, into a permit of their own.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> MemoryPermit {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryPermit { budget: self.budget.clone(), user: self.user, bytes }
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
