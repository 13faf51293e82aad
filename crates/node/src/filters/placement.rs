//! Chooses the endpoint for a request.

use std::sync::Arc;

use bilberryford_cache::{
    BLOCK_TOKENS, BlockOwner, ChainSalt, MAX_ENGINES, PlacementDecision, PlacementRequest,
    PrefixChain, TransferClass, estimate_prompt_tokens,
};
use bilberryford_types::{ErrorKind, EventKind, PoolName, Priority, WeightVersion};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow, Target};
use crate::{fleet::Endpoint, node::Node, refusal::Refusal, stores, weights};

pub(crate) struct Placement;

impl Filter for Placement {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        place(node, ctx).boxed()
    }
}

async fn place(node: &Node, ctx: &mut Context) -> Result<Flow, Refusal> {
    let (endpoint, reason) = match &ctx.target {
        Target::Prompt(_) => place_prompt(node, ctx).await?,
        Target::Service { .. } | Target::Run { .. } => {
            (least_loaded(node, &target_pool(ctx)?, &[]), None)
        }
    };
    let Some(endpoint) = endpoint else {
        return Err(ctx.refuse(ErrorKind::NoEndpoint));
    };
    node.events.write(EventKind::Placed, |event| {
        event.request = Some(ctx.request.clone());
        event.team = ctx.team.as_ref().map(|team| team.name.clone());
        event.endpoint = Some(endpoint.id.clone());
        event.detail = reason.unwrap_or_else(|| "least in flight".to_owned());
    });
    ctx.endpoint = Some(endpoint);
    Ok(Flow::Next)
}

/// The chosen endpoint, and the reason for it if there is one besides its load.
type Choice = (Option<Arc<Endpoint>>, Option<String>);

/// Pins the request to a weight version and chooses an endpoint that serves it.
async fn place_prompt(node: &Node, ctx: &mut Context) -> Result<Choice, Refusal> {
    let in_force = ctx.in_force()?;
    let model = ctx.prompt.as_ref().map(|prompt| &prompt.model);
    let section = in_force.document.models.iter().find(|section| Some(&section.name) == model);
    let section = section.ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
    let Some(pinned) = weights::choose_pinned(node, section, &[]) else { return Ok((None, None)) };
    ctx.weight_version = Some(pinned.weight_version.clone());
    let owner = block_owner(ctx, &pinned.weight_version)?;
    let prompt = ctx.prompt.as_ref().map_or_else(|| "".into(), |prompt| prompt.prompt.clone());
    stores::look_up(node, &section.pool, &owner, &prompt).await;
    let decided = decide(node, ctx, &section.pool, &pinned.weight_version)?;
    Ok(match decided {
        Some((endpoint, decision)) => {
            let decision_and_class = (&decision, link_class(ctx.priority));
            ctx.import = stores::plan(node, &endpoint, &owner, &prompt, decision_and_class);
            (Some(endpoint), Some(decision.to_string()))
        }
        None => (Some(pinned.endpoint), None),
    })
}

fn link_class(priority: Priority) -> TransferClass {
    match priority {
        Priority::Batch => TransferClass::Batch,
        Priority::Standard | Priority::Interactive => TransferClass::Interactive,
    }
}

/// The owner of the prompt's cache blocks.
fn block_owner(ctx: &Context, weight_version: &WeightVersion) -> Result<BlockOwner, Refusal> {
    let prompt = ctx.prompt.as_ref().ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
    let (team, model) = (ctx.team()?.name.clone(), prompt.model.clone());
    Ok(BlockOwner { team, model, weight_version: weight_version.clone() })
}

/// Weighs the load of endpoints against the prompt blocks that they have cached.
///
/// Returns none for calls without a prompt, for a prompt shorter than one block, and for pools that are too large.
fn decide(
    node: &Node,
    ctx: &Context,
    pool: &PoolName,
    weight_version: &WeightVersion,
) -> Result<Option<(Arc<Endpoint>, PlacementDecision)>, Refusal> {
    let Some(prompt) = &ctx.prompt else { return Ok(None) };
    let tokens = estimate_prompt_tokens(&prompt.prompt);
    if tokens < BLOCK_TOKENS {
        return Ok(None);
    }
    let document = &ctx.in_force()?.document;
    let salt = ChainSalt {
        team: ctx.team()?.name.clone(),
        model: prompt.model.clone(),
        weight_version: weight_version.clone(),
        adapter: String::new(),
    };
    let chain = PrefixChain::from_prompt(&salt, &prompt.prompt);
    let class = link_class(ctx.priority);
    let table = node.fleet.endpoints();
    let now = node.now();
    if table.pool(pool).len() > MAX_ENGINES {
        // Weighing only a part of the pool would send all long prompts to that part.
        return Ok(None);
    }
    let usable: Vec<_> = table
        .pool(pool)
        .iter()
        .filter(|endpoint| !endpoint.is_leaving() && !endpoint.is_suspected(now))
        .filter(|endpoint| endpoint.weights.may_serve(weight_version))
        .cloned()
        .collect();
    let request = PlacementRequest { chain: &chain, tokens, class };
    Ok(node.placement.decide(&usable, &request, document.placement, now))
}

/// The pool that serves the target of the request.
pub(super) fn target_pool(ctx: &Context) -> Result<PoolName, Refusal> {
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

/// The endpoint of `pool` with the fewest requests in flight, without those that are leaving or in `excluded`.
/// Suspected endpoints are chosen only if there is no other.
pub(crate) fn least_loaded(
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
