//! A team's limit of requests in flight over all instances: held by one owner, lent in batches.
//!
//! The owner of a team is found by rendezvous and is a view: two instances may take themselves for it. What is bounded
//! then is by how much the limit can be passed, not that it never is. See `docs/design/admission.md`.
//!
//! # Invariant
//!
//! The slots that one owner has lent and that have not run out never exceed the limit. A borrower without a valid loan
//! uses its conservative share only. So over all instances at most `limit` + `members` x [`conservative_share`] requests
//! of a team are let in while one owner lends: twice the limit, or the limit and one for each instance when that is
//! more. Each further owner that a parted view produces adds one limit for as long as the views differ and
//! [`GRANT_VALIDITY`] after it.

use std::collections::HashMap;

use bilberryford_types::{InstanceId, TeamName, TimeMs};

/// How long a loan is valid.
pub const GRANT_VALIDITY: TimeMs = TimeMs(2_000);
/// The most teams that an owner or a borrower keeps; only teams with requests or loans are kept.
pub const MAX_LIMITED_TEAMS: usize = 32_768;
/// The most borrowers of one team that an owner keeps.
const MAX_BORROWERS: usize = 1_024;

/// What a member may let in of a team when nobody lends to it.
pub fn conservative_share(limit: u32, members: u32) -> u32 {
    (limit / members.max(1)).max(u32::from(limit > 0))
}

/// Slots that a borrower may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotGrant {
    /// How many in all.
    pub slots: u32,
    /// For how long, from when the question was asked.
    pub valid_for: TimeMs,
}

/// A question for slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// The team.
    pub team: TeamName,
    /// The team's limit over all instances.
    pub limit: u32,
    /// Who asks.
    pub requester: InstanceId,
    /// How many slots it wants in all.
    pub wanted: u32,
}

#[derive(Debug, Clone, Copy)]
struct Lent {
    slots: u32,
    wanted: u32,
    until: TimeMs,
}

/// The loans of the teams that an instance owns.
#[derive(Debug)]
pub struct LimitOwner {
    teams: HashMap<TeamName, HashMap<InstanceId, Lent>>,
    lends_from: TimeMs,
}

impl LimitOwner {
    /// An owner that lends nothing until loans of an owner before it have run out.
    pub fn new(now: TimeMs) -> Self {
        Self { teams: HashMap::new(), lends_from: now.after(GRANT_VALIDITY) }
    }

    /// Lends slots; a borrower that uses more than its part gets less when others want some.
    pub fn grant(&mut self, request: &SlotRequest, now: TimeMs) -> SlotGrant {
        if now < self.lends_from || !self.has_room(&request.team, now) {
            return SlotGrant::default();
        }
        let loans = self.teams.entry(request.team.clone()).or_default();
        loans.retain(|_, lent| now < lent.until);
        if loans.len() >= MAX_BORROWERS && !loans.contains_key(&request.requester) {
            return SlotGrant::default();
        }
        let others = || loans.iter().filter(|(borrower, _)| **borrower != request.requester);
        let borrowers = u32::try_from(others().count()).unwrap_or(u32::MAX).saturating_add(1);
        let part = request.limit / borrowers;
        let kept: u32 = others()
            .map(|(_, lent)| lent.slots.max(lent.wanted.min(part)))
            .fold(0, u32::saturating_add);
        let slots = request.wanted.min(request.limit.saturating_sub(kept));
        let lent = Lent { slots, wanted: request.wanted, until: now.after(GRANT_VALIDITY) };
        loans.insert(request.requester.clone(), lent);
        SlotGrant { slots, valid_for: GRANT_VALIDITY }
    }

    /// The slots of a team that are lent now.
    pub fn granted(&self, team: &TeamName, now: TimeMs) -> u32 {
        let loans = self.teams.get(team).into_iter().flat_map(HashMap::values);
        loans.filter(|lent| now < lent.until).map(|lent| lent.slots).sum()
    }

    /// How many teams are kept.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team is kept.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    fn has_room(&mut self, team: &TeamName, now: TimeMs) -> bool {
        if self.teams.len() < MAX_LIMITED_TEAMS || self.teams.contains_key(team) {
            return true;
        }
        self.teams.retain(|_, loans| loans.values().any(|lent| now < lent.until));
        self.teams.len() < MAX_LIMITED_TEAMS
    }
}

/// A team's loan at a borrower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantedLimit {
    slots: u32,
    until: TimeMs,
}

impl GrantedLimit {
    /// Takes a loan in; its time counts from `asked`, before the question was sent.
    pub fn record(&mut self, loan: SlotGrant, asked: TimeMs) {
        *self = Self { slots: loan.slots, until: asked.after(loan.valid_for) };
    }

    /// How many requests of the team may be in flight here.
    pub fn slots(&self, limit: u32, members: u32, now: TimeMs) -> u32 {
        let slots = if now < self.until { self.slots } else { conservative_share(limit, members) };
        // A wrong owner may lend more than there is.
        slots.min(limit)
    }

    /// Whether the loan has run out.
    pub fn is_expired(&self, now: TimeMs) -> bool {
        now >= self.until
    }
}
