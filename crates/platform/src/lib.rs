//! Clients of the platform that bilberryford runs on.
//!
//! The platform is the only place where anything lasts. Its object API ([`ObjectStore`]) offers versions, conditional
//! updates and watches, and everything that has to be agreed goes through them; there is no consensus group of our
//! own. Its list of instances ([`InstanceList`]) lags, so it is a view that steers and never decides.
//!
//! An answer of the platform can be lost after the write has taken effect. [`PlatformError::Unknown`] says just that,
//! and is told apart from [`PlatformError::NotApplied`], which is only used when nothing can have been written. Callers
//! that need to know read back, and fence before they treat a write as not taken; see `docs/design/orders.md`.
//!
//! Each trait has one adapter over HTTP, whose wire format stands in one file ([`wire`]).

mod http;
mod instances;
mod object;
mod traffic;
pub mod wire;

pub use http::{HttpPlatform, HttpPlatformConfig};
pub use instances::{InstanceList, InstanceRecord, InstanceState, Role};
pub use object::{
    Change, Changes, Object, ObjectKey, ObjectKind, ObjectStore, PlatformError, Precondition,
};
pub use traffic::PlatformTraffic;
