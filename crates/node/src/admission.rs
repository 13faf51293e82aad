//! What is in flight in front of each pool and of each team, and the loans that bound it.
//!
//! The decisions are those of `bilberryford_coord`; here they are fed and counted. Nothing waits: a request is let in or
//! refused at once. See `docs/design/admission.md`.

use std::{collections::HashMap, sync::Arc};

use bilberryford_coord::{
    AdmissionController, AdmissionDecision, AdmissionRequest, GrantedLimit, LimitOwner,
    MAX_LIMITED_TEAMS, ShedReason, SlotGrant, SlotRequest, conservative_share,
};
use bilberryford_peer::{Borrow, BorrowReply};
use bilberryford_types::{ErrorKind, PoolName, Priority, TeamName, TimeMs};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::node::Node;

/// What a caller is told whose team has no slot free, before jitter, in milliseconds.
const TEAM_COME_BACK_MS: u64 = 1_000;
/// How many slots more than it uses an instance borrows, at least.
const MIN_BATCH: u32 = 8;

#[derive(Debug, Default)]
struct TeamState {
    in_flight: u32,
    limit: u32,
    /// Refusals since the last question, which are demand as well.
    refused: u32,
    borrowed: GrantedLimit,
}

#[derive(Debug, Default)]
struct State {
    pools: HashMap<PoolName, AdmissionController>,
    teams: HashMap<TeamName, TeamState>,
}

/// All that admission keeps.
#[derive(Debug)]
pub(crate) struct Admissions {
    state: Mutex<State>,
    owner: Mutex<LimitOwner>,
    /// Rings when a team needs a loan.
    pub(crate) demand: Notify,
}

/// A refusal by admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) kind: ErrorKind,
    pub(crate) come_back: TimeMs,
}

/// A request that asks to be let in.
pub(crate) struct Ask<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) request: AdmissionRequest,
    /// The team's limit over all instances.
    pub(crate) limit: u32,
    /// Requests that the pool can take before queues grow too long.
    pub(crate) capacity: u32,
}

/// A question that the loan controller puts to a team's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Need {
    pub(crate) team: TeamName,
    pub(crate) in_use: u32,
    pub(crate) want: u32,
}

impl Admissions {
    pub(crate) fn new(now: TimeMs) -> Self {
        Self {
            state: Mutex::default(),
            owner: Mutex::new(LimitOwner::new(now)),
            demand: Notify::new(),
        }
    }

    /// Lets a request in, or refuses it.
    pub(crate) fn enter(&self, node: &Arc<Node>, ask: &Ask<'_>) -> Result<Ticket, Refused> {
        let members = node.member_count();
        let mut state = self.state.lock();
        let team = &ask.request.team;
        if state.teams.len() >= MAX_LIMITED_TEAMS && !state.teams.contains_key(team) {
            let come_back = TimeMs(TEAM_COME_BACK_MS);
            return Err(Refused { kind: ErrorKind::Overloaded, come_back });
        }
        let load = state.teams.entry(team.clone()).or_default();
        load.limit = ask.limit;
        let slots = load.borrowed.slots(ask.limit, members, node.now());
        if load.in_flight.saturating_mul(2) >= slots {
            self.demand.notify_one();
        }
        if load.in_flight >= slots {
            load.refused = load.refused.saturating_add(1);
            let come_back = TimeMs(TEAM_COME_BACK_MS);
            return Err(Refused { kind: ErrorKind::TeamOverLimit, come_back });
        }
        let pool = state.pools.entry(ask.pool.clone()).or_default();
        if let AdmissionDecision::Shed { reason, retry_after } =
            pool.decide(&ask.request, ask.capacity)
        {
            let kind = match reason {
                ShedReason::TeamOverShare => ErrorKind::TeamOverLimit,
                ShedReason::Overloaded | ShedReason::Deadline => ErrorKind::Overloaded,
            };
            return Err(Refused { kind, come_back: retry_after });
        }
        pool.record_admitted(&ask.request);
        if let Some(load) = state.teams.get_mut(team) {
            load.in_flight += 1;
        }
        let AdmissionRequest { team, priority, .. } = ask.request.clone();
        Ok(Ticket { node: node.clone(), pool: ask.pool.clone(), team, priority })
    }

    fn leave(&self, ticket: &Ticket, now: TimeMs) {
        let mut state = self.state.lock();
        if let Some(pool) = state.pools.get_mut(&ticket.pool) {
            pool.record_finished(&ticket.team, ticket.priority, now);
        }
        if let Some(load) = state.teams.get_mut(&ticket.team) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// The teams that need a loan now, the neediest first; teams that are over are forgotten.
    pub(crate) fn needs(&self, members: u32, now: TimeMs) -> Vec<Need> {
        let mut state = self.state.lock();
        state.teams.retain(|_, load| {
            load.in_flight > 0 || load.refused > 0 || !load.borrowed.is_expired(now)
        });
        let mut needs: Vec<_> = state
            .teams
            .iter_mut()
            .filter_map(|(team, load)| {
                let used = load.in_flight.saturating_add(std::mem::take(&mut load.refused));
                let own = conservative_share(load.limit, members);
                let is_needed = used.saturating_mul(2) >= own;
                let batch = (used / 2).max(MIN_BATCH);
                let want = used.saturating_add(batch).min(load.limit);
                is_needed.then(|| Need { team: team.clone(), in_use: load.in_flight, want })
            })
            .collect();
        needs.sort_by_key(|need| std::cmp::Reverse(need.want));
        needs
    }

    /// Takes a loan in that was asked for at `asked`.
    pub(crate) fn borrowed(&self, team: &TeamName, loan: SlotGrant, asked: TimeMs) {
        // An owner that lends nothing yet leaves the conservative share in force.
        if loan.valid_for == TimeMs(0) {
            return;
        }
        if let Some(load) = self.state.lock().teams.get_mut(team) {
            load.borrowed.record(loan, asked);
        }
    }

    /// Lends slots of a team as its owner.
    pub(crate) fn lend(&self, request: &SlotRequest, now: TimeMs) -> SlotGrant {
        self.owner.lock().grant(request, now)
    }
}

impl Node {
    /// How many instances there are, this one included; a view.
    pub(crate) fn member_count(&self) -> u32 {
        u32::try_from(self.members.addresses().len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Answers a peer that borrows; the limit is that of the configuration in force here.
    pub(crate) fn lend(&self, borrow: Borrow) -> BorrowReply {
        let Some(in_force) = self.in_force() else { return BorrowReply::default() };
        let Some(limit) = in_force.team_limit(&borrow.team) else { return BorrowReply::default() };
        let request = SlotRequest {
            team: borrow.team,
            limit,
            requester: borrow.borrower,
            wanted: borrow.want,
        };
        let loan = self.admissions.lend(&request, self.now());
        BorrowReply { granted: loan.slots, valid: loan.valid_for }
    }
}

/// A request that was let in, counted until this is dropped.
pub(crate) struct Ticket {
    node: Arc<Node>,
    pool: PoolName,
    team: TeamName,
    priority: Priority,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.node.admissions.leave(self, self.node.now());
    }
}
