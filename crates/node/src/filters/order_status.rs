//! Reads from a service what became of an order.
//!
//! An answer that is found proves that the order ran. That none is found proves nothing: the attempt may be under
//! way, or the instance asked may not share its state with the one that ran the order. See `docs/design/orders.md`.

use bilberryford_coord::OrderReply;
use bilberryford_endpoint::{ServiceCall, ServiceReply};
use bilberryford_types::{Digest, OrderKey, TimeMs};
use poem::Response;

use super::{Context, least_loaded, order::replay};
use crate::node::Node;

/// The longest answer that is kept for repeats, in bytes.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;
/// How many instances of the service are asked.
const MAX_ASKED: usize = 3;
/// The deadline of one status read, in milliseconds.
const STATUS_TIMEOUT: TimeMs = TimeMs(1_000);

/// What a status read found.
pub(super) struct Status {
    /// For the caller, whole.
    pub(super) response: Response,
    /// For repeats.
    pub(super) kept: OrderReply,
}

/// Asks some instances of the service for the order's answer, one after the other.
pub(super) async fn read(node: &Node, ctx: &Context, key: &OrderKey) -> Option<Status> {
    let path = ctx.route.as_ref()?.status_path.as_ref()?.replace("{key}", key.as_str());
    let mut asked = Vec::new();
    let mut endpoint = ctx.endpoint().ok()?;
    while asked.len() < MAX_ASKED {
        let timeout = ctx.time_left().min(STATUS_TIMEOUT);
        if timeout == TimeMs(0) {
            return None;
        }
        let call = ServiceCall {
            attempt: node.next_attempt(),
            team: ctx.team().ok()?.name.clone(),
            method: "GET".to_owned(),
            path: path.clone(),
            content_type: None,
            idempotent: true,
            order: None,
            body: bytes::Bytes::new(),
        };
        match endpoint.service.call(call, timeout).await {
            Ok(reply) if (200..300).contains(&reply.status) => return Some(found(reply)),
            Ok(_) | Err(_) => asked.push(endpoint.clone()),
        }
        endpoint = least_loaded(node, &endpoint.pool, &asked)?;
    }
    None
}

fn found(reply: ServiceReply) -> Status {
    let kept = kept(&reply);
    let body = reply.body;
    let mut response = replay(OrderReply { body: None, ..kept.clone() }, true);
    response.set_body(body);
    Status { response, kept }
}

/// What is kept of an answer.
pub(super) fn kept(reply: &ServiceReply) -> OrderReply {
    let body =
        std::str::from_utf8(&reply.body).ok().filter(|body| body.len() <= MAX_KEPT_BODY_BYTES);
    let body_digest = match body {
        Some(_) => None,
        None => Some(Digest(*blake3::hash(&reply.body).as_bytes())),
    };
    OrderReply {
        status: reply.status,
        content_type: reply.content_type.clone(),
        body: body.map(str::to_owned),
        body_digest,
    }
}
