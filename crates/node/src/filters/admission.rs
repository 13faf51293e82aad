//! Admits a request, or refuses it at once.

use std::sync::Arc;

use bilberryford_coord::AdmissionRequest;
use bilberryford_types::{ErrorKind, EventKind, PoolName};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow, Target, placement::target_pool};
use crate::{admission::AdmissionContext, node::Node, refusal::Refusal};

pub(crate) struct Admission;

impl Filter for Admission {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        std::future::ready(admit(node, ctx)).boxed()
    }
}

fn admit(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let Some(mut slot) = node.try_acquire_slot() else {
        return Err(ctx.refuse(ErrorKind::Overloaded));
    };
    let pool = target_pool(ctx)?;
    let team = ctx.team()?;
    let admission = AdmissionContext {
        pool: &pool,
        request: AdmissionRequest {
            team: team.name.clone(),
            share: team.share,
            priority: ctx.priority,
            time_left: ctx.time_left(),
        },
        team_limit: team.max_in_flight,
        pool_capacity: capacity(node, ctx, &pool),
    };
    match node.admission.admit(node, &admission) {
        Ok(permit) => slot.attach(permit),
        Err(refusal) => return Err(ctx.refuse(refusal.kind).with_retry_after(refusal.retry_after)),
    }
    ctx.slot = Some(slot);
    node.events.write(EventKind::Accepted, |event| {
        event.request = Some(ctx.request.clone());
        event.team = ctx.team.as_ref().map(|team| team.name.clone());
    });
    Ok(Flow::Next)
}

/// The number of requests that the pool can take from this instance. Plain services report no queue, so that only the
/// instance's own limit applies to them.
fn capacity(node: &Node, ctx: &Context, pool: &PoolName) -> u32 {
    if let Target::Service { .. } = ctx.target {
        return node.settings.max_in_flight;
    }
    let table = node.fleet.endpoints();
    let members = table.pool(pool).iter().filter(|endpoint| !endpoint.is_leaving());
    let capacity = members.fold(0_u32, |sum, endpoint| {
        sum.saturating_add(endpoint.capacity().unwrap_or(node.settings.max_in_flight))
    });
    capacity.clamp(1, node.settings.max_in_flight)
}
