//! Coordination state machines for embedding in other programs.
//!
//! Every part is a state machine without I/O: it has no clock, socket, task or lock. The caller passes in the time (a
//! [`TimeMs`](bilberryford_types::TimeMs) of a monotonic clock, or Unix time where a function says so) and a seeded
//! random generator, and receives the actions to perform as return values. The parts can therefore be tested with
//! tables and simulations and embedded in any daemon; the crate `bilberryford-node` is one embedder.
//!
//! One rule holds throughout the crate: views are advisory, versions are authoritative. A heartbeat, a load report or
//! any other report of a peer may be late or wrong, so it only influences choices. Guarantees are enforced by a
//! conditional update, a fencing number or an attempt id. See `docs/DESIGN.md`.

mod admission;
mod attempt;
mod blame;
mod cell;
mod concurrency;
mod config;
mod departures;
mod fair_share;
mod lease;
mod listing;
mod membership;
mod order;
mod order_key;
mod order_write;
mod ownership;
mod pause;
mod quarantine;
mod retry;
mod rollout;
mod share_place;
mod shared_rate;
mod shares;
mod silence;
mod stream;

pub use admission::{AdmissionController, AdmissionDecision, AdmissionRequest, ShedReason};
pub use attempt::{Attempt, AttemptState, NotRun, Planned, Sent, Settled};
pub use blame::{
    ANSWERS_PER_CRASH, AnswerReport, Blame, BlameAgenda, BlameChange, BlameDecision, BlameReports,
    BlameSource, CRASH_LIMIT, CrashReport, Feature, FeatureError, FeatureKind, QuarantineReport,
};
pub use cell::{Cell, CellId, Cells, MAX_CELL_ENDPOINTS};
pub use concurrency::{ConcurrencyLimit, QueueReport};
pub use config::{ConfigOfferOutcome, ConfigStamp, VersionedConfig};
pub use departures::{Departures, MAX_DEPARTURES};
pub use fair_share::{
    FairShares, MAX_REPORTED_SHARES, ReturnSlot, ReturnState, ShareKey, ShareStanding, ShareTag,
    ShareUsage, Standing, UsageReport,
};
pub use lease::{
    AcquireOutcome, Acquiring, Held, Lease, LeaseHolder, LeaseObject, LeaseRecord, LeaseState,
    LeaseTerms, LeaseUpdate, LeaseWriteOutcome, Permit, RenewalOutcome, WatchOutcome, Watching,
};
pub use listing::{AddressedEndpoint, EndpointListing, MAX_LISTED_ENDPOINTS};
pub use membership::{
    FAILURE_QUORUM, Liveness, MAX_MEMBERS, MemberChange, MemberRecord, MemberReport, Membership,
};
pub use order::{KEY_CLOCK_SLACK_DIVISOR, OrderDecision, OrderRecord, OrderReply, OrderState};
pub use order_key::{KeyAge, KeyError, key_age, parse_key};
pub use order_write::{
    DispatchWindow, IntentStep, IntentWrite, OutcomeStep, OutcomeWrite, PutOutcome, StoredOrder,
};
pub use ownership::{rendezvous_owner, rendezvous_owners};
pub use pause::PauseDetector;
pub use quarantine::{ClaimReply, QUARANTINE_MS, Quarantine, QuarantineSource, QuarantineState};
pub use retry::{RetryBudget, RetryBudgets, RetryClass, backoff};
pub use rollout::{EngineView, LoadState, RolloutPlan, RolloutView, RolloutWait};
pub use share_place::SharePlace;
pub use shared_rate::SharedRate;
pub use shares::{
    GRANT_VALIDITY, GrantedLimit, LimitOwner, MAX_LIMITED_TEAMS, SlotGrant, SlotRequest,
    conservative_share,
};
pub use silence::StallDetector;
pub use stream::{
    InquiryStep, MAX_STREAMS, OpenInquiry, STREAM_RETENTION_MS, StreamInquiry, StreamKeeper,
    StreamKey, StreamKnowledge, StreamOrigin, StreamRecords, UnconfirmedOrigin, UnconfirmedStreams,
    covers_connection, displaced_inquiry, live_first, ranked_keepers,
};
