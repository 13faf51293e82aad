//! The life cycle of an attempt, kept by types.
//!
//! # Invariant
//!
//! A [`NotRun`] can only be made from an `Attempt<Planned>`, by value. Once an attempt has been turned into
//! `Attempt<Sent>` there is no way back, so a refusal that says "not run" can't be written about a request that was
//! sent.

use bilberryford_types::{AttemptId, ErrorKind, Ran};

/// Nothing of the request has been sent.
#[derive(Debug)]
pub struct Planned;
/// The request has been handed to a connection.
#[derive(Debug)]
pub struct Sent;
/// The fate of the attempt is known, or known to be unknowable.
#[derive(Debug)]
pub struct Settled {
    ran: Ran,
}

/// A state of an attempt.
pub trait AttemptState {}
impl AttemptState for Planned {}
impl AttemptState for Sent {}
impl AttemptState for Settled {}

/// One dispatch of a request.
#[derive(Debug)]
pub struct Attempt<S: AttemptState> {
    id: AttemptId,
    state: S,
}

/// Proof that a request did not run, with the kind to answer.
#[derive(Debug)]
pub struct NotRun {
    kind: ErrorKind,
}

impl NotRun {
    /// The kind to answer with.
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl<S: AttemptState> Attempt<S> {
    /// The attempt's id.
    pub const fn id(&self) -> &AttemptId {
        &self.id
    }
}

impl Attempt<Planned> {
    /// An attempt of which nothing has been sent.
    pub const fn new(id: AttemptId) -> Self {
        Self { id, state: Planned }
    }

    /// Gives the request up before anything was sent.
    pub fn refuse(self, kind: ErrorKind) -> NotRun {
        NotRun { kind }
    }

    /// The same request under the id of its next attempt; nothing of it has been sent yet.
    pub fn with_id(self, id: AttemptId) -> Self {
        Self { id, state: Planned }
    }

    /// Hands the request to a connection.
    pub fn send(self) -> Attempt<Sent> {
        Attempt { id: self.id, state: Sent }
    }
}

impl Attempt<Sent> {
    /// Records what is known about whether the request ran.
    pub fn settle(self, ran: Ran) -> Attempt<Settled> {
        Attempt { id: self.id, state: Settled { ran } }
    }

    /// Takes back an attempt of which the connection says that no byte was sent.
    ///
    /// Only a failed connect or a refusal before execution may be turned back; the caller passes what it saw, and
    /// anything but [`Ran::No`] is given back as sent.
    ///
    /// # Errors
    ///
    /// The attempt itself when it may have run.
    pub fn revert_if_not_run(self, ran: Ran) -> Result<Attempt<Planned>, Self> {
        match ran {
            Ran::No => Ok(Attempt { id: self.id, state: Planned }),
            Ran::Maybe | Ran::Yes => Err(self),
        }
    }
}

impl Attempt<Settled> {
    /// What is known about whether the request ran.
    pub const fn ran(&self) -> Ran {
        self.state.ran
    }
}
