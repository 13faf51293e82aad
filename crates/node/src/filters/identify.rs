//! Identifies the calling team by its API key.

use std::sync::Arc;

use bilberryford_types::ErrorKind;
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow};
use crate::{node::Node, refusal::Refusal};

pub(crate) struct Identify;

impl Filter for Identify {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        std::future::ready(identify(node, ctx)).boxed()
    }
}

fn identify(node: &Node, ctx: &mut Context) -> Result<Flow, Refusal> {
    let Some(in_force) = node.in_force() else {
        return Err(ctx.refuse(ErrorKind::NotReady));
    };
    let api_key = ctx.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let team = api_key.and_then(|api_key| in_force.team_of_key(api_key.trim())).cloned();
    if team.is_none() {
        return Err(ctx.refuse(ErrorKind::Unauthenticated));
    }
    ctx.team = team;
    ctx.in_force = Some(in_force);
    Ok(Flow::Next)
}
