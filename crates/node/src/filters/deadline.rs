//! Attaches the deadline that the caller gives.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, TimeMs};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow};
use crate::{node::Node, refusal::Refusal};

/// The header with the time that the caller waits, in milliseconds.
pub(crate) const TIMEOUT_HEADER: &str = "bilberryford-timeout-ms";

pub(crate) struct Deadline;

impl Filter for Deadline {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        std::future::ready(attach(node, ctx)).boxed()
    }
}

fn attach(node: &Node, ctx: &mut Context) -> Result<Flow, Refusal> {
    let asked: Option<TimeMs> = ctx.header(TIMEOUT_HEADER).and_then(|value| value.parse().ok());
    match asked.filter(|asked| asked.get() > 0) {
        Some(asked) => {
            ctx.timeout = asked.min(node.settings.max_deadline);
            Ok(Flow::Next)
        }
        None => Err(ctx.refuse(ErrorKind::BadDeadline)),
    }
}
