//! Enforces a team's limit of requests in flight over all instances: one owner grants slots of the limit in batches.
//!
//! The owner of a team is assigned by rendezvous hashing over a view of the members, so two instances may consider
//! themselves the owner. The limit can then be exceeded, but only by a bounded amount. See `docs/design/admission.md`.
//!
//! # Invariant
//!
//! The unexpired slots that one owner has granted never exceed the limit. An instance without a valid grant uses its
//! conservative share only. With a single owner, at most `limit` + `members` x [`conservative_share`] requests of a
//! team are therefore admitted over all instances: twice the limit, or the limit plus one per instance if that is
//! more. Each additional owner due to diverging views adds one limit, for as long as the views differ and
//! [`GRANT_VALIDITY`] longer.

use std::collections::HashMap;

use bilberryford_types::{InstanceId, TeamName, TimeMs};

/// How long a grant is valid.
pub const GRANT_VALIDITY: TimeMs = TimeMs(2_000);
/// The most teams that an owner or a requester tracks; only teams with requests or grants are tracked.
pub const MAX_LIMITED_TEAMS: usize = 32_768;
/// The most instances with a grant of one team.
const MAX_REQUESTERS: usize = 1_024;

/// The number of a team's requests that an instance may have in flight without a valid grant: an equal share of the
/// limit, and at least one unless the limit is zero.
pub fn conservative_share(limit: u32, members: u32) -> u32 {
    (limit / members.max(1)).max(u32::from(limit > 0))
}

/// Slots of a team's limit that an instance may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotGrant {
    /// The total number of slots, including those of earlier grants.
    pub slots: u32,
    /// How long the grant is valid, counted from before the request was sent; zero if the owner grants nothing.
    pub valid_for: TimeMs,
}

/// A request for slots, sent to the owner of the team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// The team.
    pub team: TeamName,
    /// The team's limit over all instances.
    pub limit: u32,
    /// The instance that requests the slots.
    pub requester: InstanceId,
    /// The total number of slots that it wants, including those that it has.
    pub wanted: u32,
}

/// A grant as the owner tracks it.
#[derive(Debug, Clone, Copy)]
struct ActiveGrant {
    slots: u32,
    wanted: u32,
    until: TimeMs,
}

/// The grants of the teams that an instance owns.
#[derive(Debug)]
pub struct LimitOwner {
    teams: HashMap<TeamName, HashMap<InstanceId, ActiveGrant>>,
    grants_from: TimeMs,
}

impl LimitOwner {
    /// Creates an owner that grants nothing until the grants of a previous owner have expired.
    pub fn new(now: TimeMs) -> Self {
        Self { teams: HashMap::new(), grants_from: now.after(GRANT_VALIDITY) }
    }

    /// Grants slots. A requester above its equal part gets less as soon as others want their part.
    pub fn grant(&mut self, request: &SlotRequest, now: TimeMs) -> SlotGrant {
        if now < self.grants_from || !self.has_room(&request.team, now) {
            return SlotGrant::default();
        }
        let grants = self.teams.entry(request.team.clone()).or_default();
        grants.retain(|_, grant| now < grant.until);
        if grants.len() >= MAX_REQUESTERS && !grants.contains_key(&request.requester) {
            return SlotGrant::default();
        }
        let others = || grants.iter().filter(|(requester, _)| **requester != request.requester);
        let requesters = u32::try_from(others().count()).unwrap_or(u32::MAX).saturating_add(1);
        let equal_part = request.limit / requesters;
        let reserved: u32 = others()
            .map(|(_, grant)| grant.slots.max(grant.wanted.min(equal_part)))
            .fold(0, u32::saturating_add);
        let slots = request.wanted.min(request.limit.saturating_sub(reserved));
        let grant = ActiveGrant { slots, wanted: request.wanted, until: now.after(GRANT_VALIDITY) };
        grants.insert(request.requester.clone(), grant);
        SlotGrant { slots, valid_for: GRANT_VALIDITY }
    }

    /// The slots of a team in unexpired grants.
    pub fn granted(&self, team: &TeamName, now: TimeMs) -> u32 {
        let grants = self.teams.get(team).into_iter().flat_map(HashMap::values);
        grants.filter(|grant| now < grant.until).map(|grant| grant.slots).sum()
    }

    /// The number of teams that are tracked.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Returns true if no team is tracked.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns true if the team is tracked or can be, after evicting teams without unexpired grants.
    fn has_room(&mut self, team: &TeamName, now: TimeMs) -> bool {
        if self.teams.len() < MAX_LIMITED_TEAMS || self.teams.contains_key(team) {
            return true;
        }
        self.teams.retain(|_, grants| grants.values().any(|grant| now < grant.until));
        self.teams.len() < MAX_LIMITED_TEAMS
    }
}

/// The grant of one team at the instance that requested it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantedLimit {
    slots: u32,
    until: TimeMs,
}

impl GrantedLimit {
    /// Stores a grant. Its validity counts from `requested_at`, the time before the request was sent.
    pub fn record(&mut self, grant: SlotGrant, requested_at: TimeMs) {
        *self = Self { slots: grant.slots, until: requested_at.after(grant.valid_for) };
    }

    /// The number of the team's requests that may be in flight at this instance.
    pub fn slots(&self, limit: u32, members: u32, now: TimeMs) -> u32 {
        let slots = if now < self.until { self.slots } else { conservative_share(limit, members) };
        // The owner may apply another limit, so that a grant can exceed the limit in force here.
        slots.min(limit)
    }

    /// Returns true if the grant has expired.
    pub fn is_expired(&self, now: TimeMs) -> bool {
        now >= self.until
    }
}
