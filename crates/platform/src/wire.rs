//! The platform's wire format: objects as HTTP resources with entity tags (RFC 9110, conditional requests).
//!
//! * `GET|PUT|DELETE /objects/<kind>/<name>` with `If-Match: "<version>"` or `If-None-Match: *`. The `ETag` of the
//!   response is the version.
//! * `GET /objects/<kind>?prefix=<prefix>` returns a [`ListBody`].
//! * `GET /watch/<kind>?after=<version>&wait_ms=<wait>` returns a [`ListBody`] of changes, or 410 if the platform no
//!   longer retains them.
//! * `GET /instances` returns an [`InstancesBody`] with an entity tag, or 304 if `If-None-Match` has the current one.

use bilberryford_types::{ObjectName, ObjectVersion};
use serde::{Deserialize, Serialize};

use crate::InstanceRecord;

/// An object in a list, or a change in a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListItem {
    /// The object's name.
    pub name: ObjectName,
    /// The object's version.
    pub version: ObjectVersion,
    /// The object's content, which must be UTF-8; `None` if the object was deleted.
    pub body: Option<String>,
}

/// The response to a list or a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListBody {
    /// The version from which to watch.
    pub version: ObjectVersion,
    /// The objects, or the changes, oldest first.
    pub items: Vec<ListItem>,
}

/// The response to a read of the list of instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstancesBody {
    /// The rows of the list.
    pub instances: Vec<InstanceRecord>,
}

/// Returns the entity tag of a version.
pub fn entity_tag(version: ObjectVersion) -> String {
    format!("\"{version}\"")
}

/// Parses the version from an entity tag. Returns `None` if the tag is not a version.
pub fn parse_entity_tag(tag: &str) -> Option<ObjectVersion> {
    tag.trim().trim_matches('"').parse().ok()
}
