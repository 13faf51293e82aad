//! Parses the body of a prompt, or finds the route of a service call.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, ServiceName};
use futures::{FutureExt, future::BoxFuture};

use super::{Context, Filter, Flow, Target};
use crate::{
    api::{PromptRequest, ResponseFormat},
    node::Node,
    refusal::Refusal,
};

pub(crate) struct Parse;

impl Filter for Parse {
    fn apply<'a>(
        &'a self,
        _node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        std::future::ready(parse(ctx)).boxed()
    }
}

fn parse(ctx: &mut Context) -> Result<Flow, Refusal> {
    let parsed = match ctx.target.clone() {
        Target::Prompt(format) => parse_prompt(ctx, format),
        Target::Service { service, path } => find_route(ctx, &service, &path),
        Target::Run { .. } => Ok(()),
    };
    parsed.map(|()| Flow::Next).map_err(|kind| ctx.refuse(kind))
}

fn parse_prompt(ctx: &mut Context, format: ResponseFormat) -> Result<(), ErrorKind> {
    let request = PromptRequest::parse(format, &ctx.body)?;
    let in_force = ctx.in_force.as_ref().ok_or(ErrorKind::Internal)?;
    if !in_force.document.models.iter().any(|model| model.name == request.model) {
        return Err(ErrorKind::UnknownModel);
    }
    let team = ctx.team.as_ref().ok_or(ErrorKind::Internal)?;
    ctx.priority = request.priority.map_or(team.priority, |requested| requested.min(team.priority));
    ctx.prompt = Some(request);
    Ok(())
}

fn find_route(ctx: &mut Context, service: &ServiceName, path: &str) -> Result<(), ErrorKind> {
    let in_force = ctx.in_force.as_ref().ok_or(ErrorKind::Internal)?;
    let section = in_force.document.services.iter().find(|section| section.name == *service);
    let section = section.ok_or(ErrorKind::NotFound)?;
    ctx.route = section.route(ctx.method.as_str(), path).cloned();
    ctx.priority = ctx.team.as_ref().ok_or(ErrorKind::Internal)?.priority;
    Ok(())
}
