//! Chooses the endpoint.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, PoolName};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow, Target};
use crate::{fleet::Endpoint, node::Node, refusal::Refusal, weights};

pub(crate) struct Place;

impl Filter for Place {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        std::future::ready(place(node, ctx)).boxed()
    }
}

fn place(node: &Node, ctx: &mut Context) -> Result<Flow, Refusal> {
    ctx.endpoint = match &ctx.target {
        Target::Prompt(_) => place_prompt(node, ctx)?,
        Target::Service { .. } | Target::Run { .. } => choose(node, &pool(ctx)?, &[]),
    };
    if ctx.endpoint.is_none() {
        return Err(ctx.refuse(ErrorKind::NoEndpoint));
    }
    Ok(Flow::Next)
}

/// Pins the request to a weight version and chooses an endpoint that has it.
fn place_prompt(node: &Node, ctx: &mut Context) -> Result<Option<Arc<Endpoint>>, Refusal> {
    let in_force = ctx.in_force()?;
    let model = ctx.prompt.as_ref().map(|prompt| &prompt.model);
    let section = in_force.document.models.iter().find(|section| Some(&section.name) == model);
    let section = section.ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
    let pinned = weights::pin(node, section, &[]);
    Ok(pinned.map(|pinned| {
        ctx.weight_version = Some(pinned.weight_version);
        pinned.endpoint
    }))
}

/// The pool that the request is for.
pub(super) fn pool(ctx: &Context) -> Result<PoolName, Refusal> {
    let in_force = ctx.in_force()?;
    let document = &in_force.document;
    let pool = match &ctx.target {
        Target::Service { service, .. } => document
            .services
            .iter()
            .find(|section| section.name == *service)
            .map(|section| &section.pool),
        Target::Prompt(_) => {
            let model = ctx.prompt.as_ref().map(|prompt| &prompt.model);
            let models = &document.models;
            models.iter().find(|section| Some(&section.name) == model).map(|section| &section.pool)
        }
        Target::Run { .. } => None,
    };
    pool.cloned().ok_or_else(|| Refusal::of(ErrorKind::Internal))
}

/// The least loaded member of `pool` that is not leaving and not in `excluded`.
pub(crate) fn choose(
    node: &Node,
    pool: &PoolName,
    excluded: &[Arc<Endpoint>],
) -> Option<Arc<Endpoint>> {
    let table = node.fleet.endpoints();
    let is_excluded =
        |endpoint: &Arc<Endpoint>| excluded.iter().any(|other| other.id == endpoint.id);
    table
        .pool(pool)
        .iter()
        .filter(|endpoint| !endpoint.is_leaving() && !is_excluded(endpoint))
        .min_by_key(|endpoint| {
            (endpoint.is_suspected(node.now()), endpoint.in_flight(), rand::random::<u32>())
        })
        .cloned()
}
