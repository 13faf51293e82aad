//! Sets the deadline of the request from the caller's time limit, and refuses one that this instance may not live to see.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, TimeMs};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow};
use crate::{node::Node, refusal::Refusal};

/// The request header with the time limit of the caller, in milliseconds.
pub(crate) const TIMEOUT_HEADER: &str = "bilberryford-timeout-ms";

pub(crate) struct Deadline;

impl Filter for Deadline {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        std::future::ready(set_deadline(node, ctx)).boxed()
    }
}

fn set_deadline(node: &Node, ctx: &mut Context) -> Result<Flow, Refusal> {
    let requested: Option<TimeMs> = ctx.header(TIMEOUT_HEADER).and_then(|value| value.parse().ok());
    match requested.filter(|requested| requested.get() > 0) {
        Some(requested) => {
            ctx.timeout = requested.min(node.settings.max_deadline);
            if node.stops_before(ctx.timeout) {
                return Err(ctx.refuse(ErrorKind::ShuttingDown));
            }
            Ok(Flow::Next)
        }
        None => Err(ctx.refuse(ErrorKind::BadDeadline)),
    }
}
