//! The platform's wire format: objects as HTTP resources with entity tags (RFC 9110, conditional requests).
//!
//! * `GET|PUT|DELETE /objects/<kind>/<name>` with `If-Match: "<version>"` or `If-None-Match: *`; the answer's `ETag`
//!   is the version.
//! * `GET /objects/<kind>?prefix=<prefix>` answers a [`ListBody`].
//! * `GET /watch/<kind>?after=<version>&wait_ms=<span>` answers a [`ListBody`] of changes, or 410 when they are gone.
//! * `GET /instances` answers an [`InstancesBody`] with an entity tag; with `If-None-Match` an unchanged list is 304.

use bilberryford_types::{ObjectName, ObjectVersion};
use serde::{Deserialize, Serialize};

use crate::InstanceRecord;

/// One object in a list or a change in a watch; no body means deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListItem {
    /// The object's name.
    pub name: ObjectName,
    /// Its version.
    pub version: ObjectVersion,
    /// Its content, which is UTF-8 in this format.
    pub body: Option<String>,
}

/// The answer to a list or a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListBody {
    /// The version to watch from.
    pub version: ObjectVersion,
    /// The objects or changes.
    pub items: Vec<ListItem>,
}

/// The answer to the list of instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstancesBody {
    /// The rows.
    pub instances: Vec<InstanceRecord>,
}

/// The entity tag of a version.
pub fn entity_tag(version: ObjectVersion) -> String {
    format!("\"{version}\"")
}

/// The version of an entity tag.
pub fn parse_entity_tag(tag: &str) -> Option<ObjectVersion> {
    tag.trim().trim_matches('"').parse().ok()
}
