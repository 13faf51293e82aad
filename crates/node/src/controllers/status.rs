//! Writes the environment's status when this instance is the one to do so.
//!
//! The writer is chosen by rendezvous, and its writes are conditional updates. Two instances with different views may
//! both take themselves for the writer for a while; then they alternate, at the same bounded rate each.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{ObjectKey, PlatformError, Precondition};
use bilberryford_types::ObjectVersion;
use tokio::time::{Instant, sleep};

use crate::{
    node::Node,
    status::{StatusView, status_key},
};

/// The least time between two writes.
const PERIOD: Duration = Duration::from_secs(2);
/// The longest time between two writes, so that a reader can tell an old status from a quiet one.
const REFRESH: Duration = Duration::from_secs(30);
/// What the writer is chosen for.
const OWNED: &[u8] = b"status";

#[derive(Default)]
struct Writer {
    version: Option<ObjectVersion>,
    last: Option<(Instant, StatusView)>,
}

pub(crate) async fn run(node: Arc<Node>) {
    let Ok(key) = status_key(&node.settings.environment) else { return };
    let mut writer = Writer::default();
    loop {
        sleep(PERIOD.mul_f64(rand::random_range(0.9..1.1))).await;
        if !node.members.is_owner(OWNED, 1) || node.in_force().is_none() {
            writer = Writer::default();
        } else if let Err(error) = writer.write(&node, &key).await {
            log::debug!("the status can't be written: {error}");
            writer.version = None;
        }
    }
}

impl Writer {
    async fn write(&mut self, node: &Node, key: &ObjectKey) -> Result<(), PlatformError> {
        let view = node.status_view();
        let is_fresh = |(at, last): &(Instant, StatusView)| at.elapsed() < REFRESH && *last == view;
        if self.last.as_ref().is_some_and(is_fresh) {
            return Ok(());
        }
        let version = match self.version {
            Some(version) => version,
            None => node.objects.get(key).await?.map_or(ObjectVersion::ABSENT, |it| it.version),
        };
        let precondition = match version {
            ObjectVersion::ABSENT => Precondition::Absent,
            version => Precondition::Version(version),
        };
        let body = serde_json::to_vec(&node.status()).unwrap_or_default();
        self.version = Some(node.objects.put(key, precondition, body.into()).await?);
        self.last = Some((Instant::now(), view));
        Ok(())
    }
}
