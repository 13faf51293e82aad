//! Admission control: the requests in flight of each pool and team, and the slot grants that bound teams.
//!
//! The rules are those of `bilberryford_coord`; their state is held here. Nothing waits: a request is admitted or
//! refused at once. See `docs/design/admission.md`.

use std::{collections::HashMap, sync::Arc};

use bilberryford_coord::{
    AdmissionController, AdmissionDecision, AdmissionRequest, GrantedLimit, LimitOwner,
    MAX_LIMITED_TEAMS, ShedReason, SlotGrant, SlotRequest, conservative_share,
};
use bilberryford_peer::{GrantReply, GrantRequest};
use bilberryford_types::{ErrorKind, PoolName, Priority, TeamName, TimeMs};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::node::Node;

/// Delay, before jitter, after which the caller of a team without a free slot may retry, in milliseconds.
const TEAM_RETRY_AFTER_MS: u64 = 1_000;
/// Minimum number of slots that an instance requests beyond those in use.
const MIN_SPARE_SLOTS: u32 = 8;

#[derive(Debug, Default)]
struct TeamState {
    in_flight: u32,
    limit: u32,
    /// Refusals since the last request for slots, which count as demand.
    refused: u32,
    slot_grant: GrantedLimit,
}

#[derive(Debug, Default)]
struct Usage {
    pools: HashMap<PoolName, AdmissionController>,
    teams: HashMap<TeamName, TeamState>,
}

/// State of admission control, and of the team limits that this instance owns.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    usage: Mutex<Usage>,
    owned_limits: Mutex<LimitOwner>,
    /// Notified when a team uses half of its slots or more.
    pub(crate) slots_needed: Notify,
}

/// A refusal by admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AdmissionRefusal {
    pub(crate) kind: ErrorKind,
    pub(crate) retry_after: TimeMs,
}

/// A request for admission, with the limits that apply to it.
pub(crate) struct AdmissionContext<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) request: AdmissionRequest,
    /// The team's limit over all instances.
    pub(crate) team_limit: u32,
    /// Requests that the pool can hold in flight before its queues grow too long.
    pub(crate) pool_capacity: u32,
}

/// The slots of a team that this instance requests from the owner of the team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SlotDemand {
    pub(crate) team: TeamName,
    pub(crate) in_use: u32,
    pub(crate) wanted: u32,
}

impl AdmissionState {
    pub(crate) fn new(now: TimeMs) -> Self {
        Self {
            usage: Mutex::default(),
            owned_limits: Mutex::new(LimitOwner::new(now)),
            slots_needed: Notify::new(),
        }
    }

    /// Admits a request or refuses it.
    pub(crate) fn admit(
        &self,
        node: &Arc<Node>,
        context: &AdmissionContext<'_>,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        let members = node.member_count();
        let mut usage = self.usage.lock();
        let team = &context.request.team;
        if usage.teams.len() >= MAX_LIMITED_TEAMS && !usage.teams.contains_key(team) {
            let retry_after = TimeMs(TEAM_RETRY_AFTER_MS);
            return Err(AdmissionRefusal { kind: ErrorKind::Overloaded, retry_after });
        }
        let load = usage.teams.entry(team.clone()).or_default();
        load.limit = context.team_limit;
        let slots = load.slot_grant.slots(context.team_limit, members, node.now());
        if load.in_flight.saturating_mul(2) >= slots {
            self.slots_needed.notify_one();
        }
        if load.in_flight >= slots {
            load.refused = load.refused.saturating_add(1);
            let retry_after = TimeMs(TEAM_RETRY_AFTER_MS);
            return Err(AdmissionRefusal { kind: ErrorKind::TeamOverLimit, retry_after });
        }
        let pool = usage.pools.entry(context.pool.clone()).or_default();
        if let AdmissionDecision::Shed { reason, retry_after } =
            pool.decide(&context.request, context.pool_capacity)
        {
            let kind = match reason {
                ShedReason::TeamOverShare => ErrorKind::TeamOverLimit,
                ShedReason::Overloaded | ShedReason::Deadline => ErrorKind::Overloaded,
            };
            return Err(AdmissionRefusal { kind, retry_after });
        }
        pool.record_admitted(&context.request);
        if let Some(load) = usage.teams.get_mut(team) {
            load.in_flight += 1;
        }
        let AdmissionRequest { team, priority, .. } = context.request.clone();
        Ok(AdmissionPermit { node: node.clone(), pool: context.pool.clone(), team, priority })
    }

    fn release(&self, permit: &AdmissionPermit, now: TimeMs) {
        let mut usage = self.usage.lock();
        if let Some(pool) = usage.pools.get_mut(&permit.pool) {
            pool.record_finished(&permit.team, permit.priority, now);
        }
        if let Some(load) = usage.teams.get_mut(&permit.team) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Returns the teams that need more slots, the largest demand first. Removes idle teams without a valid grant.
    pub(crate) fn slot_demands(&self, members: u32, now: TimeMs) -> Vec<SlotDemand> {
        let mut usage = self.usage.lock();
        usage.teams.retain(|_, load| {
            load.in_flight > 0 || load.refused > 0 || !load.slot_grant.is_expired(now)
        });
        let mut demands: Vec<_> = usage
            .teams
            .iter_mut()
            .filter_map(|(team, load)| {
                let used = load.in_flight.saturating_add(std::mem::take(&mut load.refused));
                let share = conservative_share(load.limit, members);
                let needs_slots = used.saturating_mul(2) >= share;
                let spare = (used / 2).max(MIN_SPARE_SLOTS);
                let wanted = used.saturating_add(spare).min(load.limit);
                needs_slots.then(|| SlotDemand {
                    team: team.clone(),
                    in_use: load.in_flight,
                    wanted,
                })
            })
            .collect();
        demands.sort_by_key(|demand| std::cmp::Reverse(demand.wanted));
        demands
    }

    /// Records a grant that was requested at `requested`, from when its validity counts.
    pub(crate) fn record_grant(&self, team: &TeamName, grant: SlotGrant, requested: TimeMs) {
        // An owner that grants nothing yet replies with a validity of 0; the conservative share stays in force.
        if grant.valid_for == TimeMs(0) {
            return;
        }
        if let Some(load) = self.usage.lock().teams.get_mut(team) {
            load.slot_grant.record(grant, requested);
        }
    }

    /// Grants slots of a team that this instance owns.
    pub(crate) fn grant(&self, request: &SlotRequest, now: TimeMs) -> SlotGrant {
        self.owned_limits.lock().grant(request, now)
    }
}

impl Node {
    /// Returns the number of serving instances in the local view, this one included.
    pub(crate) fn member_count(&self) -> u32 {
        u32::try_from(self.members.peer_addresses().len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Grants slots to an instance, within the limit of the configuration in force here.
    pub(crate) fn grant_slots(&self, request: GrantRequest) -> GrantReply {
        let Some(in_force) = self.in_force() else { return GrantReply::default() };
        let Some(limit) = in_force.team_limit(&request.team) else { return GrantReply::default() };
        let request = SlotRequest {
            team: request.team,
            limit,
            requester: request.requester,
            wanted: request.wanted,
        };
        let grant = self.admission.grant(&request, self.now());
        GrantReply { granted: grant.slots, valid_for: grant.valid_for }
    }
}

/// An admitted request; it counts as in flight until the permit is dropped.
pub(crate) struct AdmissionPermit {
    node: Arc<Node>,
    pool: PoolName,
    team: TeamName,
    priority: Priority,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.node.admission.release(self, self.node.now());
    }
}
