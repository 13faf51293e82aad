//! Lets a request in, or refuses it at once.

use std::sync::Arc;

use bilberryford_coord::AdmissionRequest;
use bilberryford_types::{ErrorKind, EventKind, PoolName};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow, Target, place::pool};
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
    let Some(mut place) = node.enter() else {
        return Err(ctx.refuse(ErrorKind::Overloaded));
    };
    let pool = pool(ctx)?;
    let team = ctx.team()?;
    let ask = AdmissionContext {
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
    match node.admission.admit(node, &ask) {
        Ok(ticket) => place.keep(ticket),
        Err(refused) => return Err(ctx.refuse(refused.kind).come_back_in(refused.retry_after)),
    }
    ctx.place = Some(place);
    node.events.write(EventKind::Accepted, |event| {
        event.request = Some(ctx.request.clone());
        event.team = ctx.team.as_ref().map(|team| team.name.clone());
    });
    Ok(Flow::Next)
}

/// What the pool can take from this instance; plain services report no queue and are bounded by the instance.
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
