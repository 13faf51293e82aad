//! Writes the status of the environment if this instance is its writer.
//!
//! The writer is chosen by rendezvous hashing, and its writes are conditional updates. Two instances with different
//! views may both consider themselves the writer for a while; their writes then alternate, each at the same bounded
//! rate.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{ObjectKey, PlatformError, Precondition};
use bilberryford_types::ObjectVersion;
use tokio::time::{Instant, sleep};

use crate::{
    node::Node,
    status::{StatusView, status_key},
};

/// Minimum time between two writes.
const PERIOD: Duration = Duration::from_secs(2);
/// Maximum time between two writes, so that a reader can tell an outdated status from an unchanged one.
const REFRESH: Duration = Duration::from_secs(30);
/// Rendezvous key of the writer.
const WRITER_KEY: &[u8] = b"status";

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
        if !node.members.is_owner(WRITER_KEY, 1) || node.in_force().is_none() {
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
