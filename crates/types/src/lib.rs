//! The vocabulary that every other crate of bilberryford shares.
//!
//! Nothing here does input or output, reads a clock or starts a task. The crate holds three things:
//!
//! * **Names and quantities**: newtypes for ids, sizes, rates and times, so that a team can't
//!   be passed where an endpoint is meant and a count of tokens can't be taken for a count of bytes.
//! * **Errors**: one closed list of error kinds, and one table that says for each kind what the caller is
//!   told, whether the request ran, and who may try again. See `docs/design/errors.md`.
//! * **Events**: the record that every process writes and the hybrid logical timestamp that orders records
//!   of several processes. See `docs/OPERATIONS.md`.

mod digest;
mod event;
mod id;
mod kind;
mod quantity;

pub use digest::{Digest, DigestError};
pub use event::{Event, EventKind, HybridClock, HybridTime};
pub use id::{
    AttemptId, DataCentreId, EndpointId, EnvironmentName, IdError, InstanceId, ModelName,
    ObjectName, OrderKey, PoolName, RequestId, RunId, ServiceName, StoreId, TeamName,
    WeightVersion,
};
pub use kind::{CallerRetry, ErrorKind, ErrorSpec, InternalRetry, Ran, RetryAfter};
pub use quantity::{
    Bytes, BytesPerSec, Fencing, Generation, Incarnation, ObjectVersion, Priority, QuantityError,
    Share, TimeMs, Tokens,
};
