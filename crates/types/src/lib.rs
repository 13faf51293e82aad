//! Types that all other crates of bilberryford share.
//!
//! The crate does no I/O, reads no clock and spawns no tasks. It defines:
//!
//! * **Identifiers and quantities**: newtypes for ids, sizes, rates and times, so that the compiler rejects a team
//!   where an endpoint is expected, or a number of tokens where a number of bytes is expected.
//! * **Errors**: the closed list of error kinds, with one table that defines for each kind the response to the caller,
//!   the statement on whether the request ran, and who may retry. See `docs/design/errors.md`.
//! * **Events**: the timeline events that every process records, and the hybrid logical timestamp that orders the
//!   events of several processes. See `docs/OPERATIONS.md`.

mod build;
mod digest;
mod event;
mod id;
mod kind;
mod quantity;
mod rate;
mod version;

pub use build::{Build, BuildError};
pub use digest::{Digest, DigestError};
pub use event::{Event, EventKind, HybridClock, HybridTime};
pub use id::{
    AttemptId, DataCentreId, EndpointId, EnvironmentName, IdError, InstanceId, ModelName,
    ObjectName, OrderKey, PoolName, RegionName, RequestId, RunId, ServiceName, StoreId, TeamName,
    WeightVersion,
};
pub use kind::{CallerRetry, ErrorKind, ErrorSpec, InternalRetry, Ran, RetryAfter};
pub use quantity::{
    Bytes, BytesPerSec, Fencing, Generation, Incarnation, Priority, QuantityError, Share, StoreEra,
    TimeMs, Tokens,
};
pub use rate::{RateError, RequestRate};
pub use version::{ObjectVersion, VersionError};
