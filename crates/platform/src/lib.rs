//! Clients of the platform that bilberryford runs on.
//!
//! The platform holds all durable state. Its object API ([`ObjectStore`]) has versions, conditional updates and
//! watches, and all agreement between instances is built on them; bilberryford runs no consensus protocol of its own.
//! The list of instances ([`InstanceList`]) may be out of date, so it serves as a hint and decisions never depend on
//! it.
//!
//! The response to a write may be lost after the write has taken effect, which is [`PlatformError::Unknown`].
//! [`PlatformError::NotApplied`] means that nothing can have been written. A caller that must know the outcome reads
//! the object back, and fences it before it treats the write as not applied; see `docs/design/orders.md`.
//!
//! [`HttpPlatform`] implements both traits over HTTP; [`wire`] defines the wire format.

mod era;
mod http;
mod instances;
mod object;
mod traffic;
pub mod wire;

pub use era::EraTracker;
pub use http::{HttpPlatform, HttpPlatformConfig};
pub use instances::{InstanceList, InstanceRecord, InstanceState, Role};
pub use object::{
    Change, Changes, Object, ObjectKey, ObjectKind, ObjectStore, PlatformError, Precondition,
};
pub use traffic::PlatformTraffic;
