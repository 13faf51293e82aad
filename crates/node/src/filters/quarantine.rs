//! Refuses requests that crash endpoints, and claims suspects, before admission.

use std::sync::Arc;

use bilberryford_coord::{ClaimReply, QuarantineState};
use bilberryford_types::{ErrorKind, TimeMs};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow};
use crate::{node::Node, pause::wait_until_settled, quarantine::fingerprint, refusal::Refusal};

/// How long after the request's deadline a claim expires if its holder does not release it, in milliseconds.
pub(crate) const CLAIM_MARGIN_MS: u64 = 4_000;

pub(crate) struct Quarantine;

impl Filter for Quarantine {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        check(node, ctx).boxed()
    }
}

async fn check(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    if !wait_until_settled(node, ctx.time_left()).await {
        return Err(ctx.refuse(ErrorKind::SuspectRunning));
    }
    let team = ctx.team()?.name.clone();
    let prompt = ctx.prompt.as_ref().ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
    let fingerprint = fingerprint(&team, &prompt.model, &ctx.body);
    ctx.fingerprint = Some(fingerprint);
    match node.quarantine_state(&fingerprint) {
        QuarantineState::Clear => Ok(Flow::Next),
        QuarantineState::Quarantined => Err(ctx.refuse(ErrorKind::Quarantined)),
        QuarantineState::Suspect => {
            let attempt = ctx.attempt_id()?;
            let span = ctx.time_left().after(TimeMs(CLAIM_MARGIN_MS));
            match node.claim_suspect(fingerprint, &attempt, span).await {
                Ok(claim) => {
                    ctx.claim = Some(claim);
                    Ok(Flow::Next)
                }
                Err(ClaimReply::Cleared) => {
                    node.clear_local_suspicion(fingerprint, &attempt);
                    Ok(Flow::Next)
                }
                Err(ClaimReply::Quarantined) => Err(ctx.refuse(ErrorKind::Quarantined)),
                Err(_) => Err(ctx.refuse(ErrorKind::SuspectRunning)),
            }
        }
    }
}
