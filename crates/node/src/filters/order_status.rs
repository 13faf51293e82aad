//! Reads the result of an order from its service.
//!
//! A result proves that the order ran. The absence of one proves nothing: the attempt may still be in progress, or the
//! queried endpoint may not share its state with the one that ran the order. See `docs/design/orders.md`.

use bilberryford_coord::OrderReply;
use bilberryford_endpoint::{ServiceCall, ServiceReply};
use bilberryford_types::{Digest, OrderKey, TimeMs};
use poem::Response;

use super::{Context, least_loaded, order::replay_response};
use crate::node::Node;

/// The largest response body that is stored for retries, in bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// The most endpoints of the service that are queried.
const MAX_QUERIED: usize = 3;
/// The time limit for one status read.
const STATUS_TIMEOUT: TimeMs = TimeMs(1_000);

/// The result of an order that a status read returned.
pub(super) struct OrderResult {
    /// The complete response for the caller.
    pub(super) response: Response,
    /// The reply to store, for retries with the same key.
    pub(super) stored: OrderReply,
}

/// Queries some endpoints of the service for the order's result, one after the other; none if no endpoint has it.
pub(super) async fn read(node: &Node, ctx: &Context, key: &OrderKey) -> Option<OrderResult> {
    let path = ctx.route.as_ref()?.status_path.as_ref()?.replace("{key}", key.as_str());
    let mut queried = Vec::new();
    let mut endpoint = ctx.endpoint().ok()?;
    while queried.len() < MAX_QUERIED {
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
            Ok(reply) if (200..300).contains(&reply.status) => return Some(to_result(reply)),
            Ok(_) | Err(_) => queried.push(endpoint.clone()),
        }
        endpoint = least_loaded(node, &endpoint.pool, &queried)?;
    }
    None
}

fn to_result(reply: ServiceReply) -> OrderResult {
    let stored = stored_reply(&reply);
    let body = reply.body;
    let mut response = replay_response(OrderReply { body: None, ..stored.clone() }, true);
    response.set_body(body);
    OrderResult { response, stored }
}

/// The form of a reply that is stored: a large or binary body is replaced by its digest.
pub(super) fn stored_reply(reply: &ServiceReply) -> OrderReply {
    let body =
        std::str::from_utf8(&reply.body).ok().filter(|body| body.len() <= MAX_STORED_BODY_BYTES);
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
