//! Lets a request in, or refuses it at once.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, EventKind};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow};
use crate::{node::Node, refusal::Refusal};

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
    let Some(place) = node.enter() else {
        return Err(ctx.refuse(ErrorKind::Overloaded));
    };
    ctx.place = Some(place);
    node.events.write(EventKind::Accepted, |event| {
        event.request = Some(ctx.request.clone());
        event.team = ctx.team.as_ref().map(|team| team.name.clone());
    });
    Ok(Flow::Next)
}
