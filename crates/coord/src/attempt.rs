//! The life cycle of an attempt as a typestate.
//!
//! # Invariant
//!
//! A [`NotRun`] can only be made by consuming an `Attempt<Planned>`. An `Attempt<Sent>` becomes planned again only
//! through [`Attempt::revert_if_not_run`], with evidence that the request did not run. A refusal that states "not
//! run" therefore can't be given for a request that may have run.

use bilberryford_types::{AttemptId, ErrorKind, Ran};

/// State in which no byte of the request has been sent.
#[derive(Debug)]
pub struct Planned;
/// State in which the request has been handed to a connection.
#[derive(Debug)]
pub struct Sent;
/// Final state: the outcome of the attempt is known, or it is known that it can't be determined.
#[derive(Debug)]
pub struct Settled {
    ran: Ran,
}

/// A state of an attempt.
pub trait AttemptState {}
impl AttemptState for Planned {}
impl AttemptState for Sent {}
impl AttemptState for Settled {}

/// One dispatch of a request to an endpoint.
#[derive(Debug)]
pub struct Attempt<S: AttemptState> {
    id: AttemptId,
    state: S,
}

/// Proof that a request did not run, with the error to respond with.
#[derive(Debug)]
pub struct NotRun {
    kind: ErrorKind,
}

impl NotRun {
    /// The kind of error to respond with.
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl<S: AttemptState> Attempt<S> {
    /// The id of the attempt.
    pub const fn id(&self) -> &AttemptId {
        &self.id
    }
}

impl Attempt<Planned> {
    /// Creates an attempt of which nothing has been sent.
    pub const fn new(id: AttemptId) -> Self {
        Self { id, state: Planned }
    }

    /// Refuses the request before anything was sent.
    pub fn refuse(self, kind: ErrorKind) -> NotRun {
        NotRun { kind }
    }

    /// Continues with the id of the next attempt, when a request that did not run is dispatched again.
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

    /// Turns a sent attempt back into a planned one if the request certainly did not run.
    ///
    /// That is so after a failed connect or a refusal before execution, which the caller passes as [`Ran::No`].
    ///
    /// # Errors
    ///
    /// The unchanged attempt if the request ran or may have run.
    pub fn revert_if_not_run(self, ran: Ran) -> Result<Attempt<Planned>, Self> {
        match ran {
            Ran::No => Ok(Attempt { id: self.id, state: Planned }),
            Ran::Maybe | Ran::Yes => Err(self),
        }
    }
}

impl Attempt<Settled> {
    /// Returns whether the request ran, as far as is known.
    pub const fn ran(&self) -> Ran {
        self.state.ran
    }
}
