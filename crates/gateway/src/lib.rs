//! The front end for routed requests: opaque calls and streams, matched by host and path and forwarded unchanged.
//!
//! Requests pass a chain of filters: identify, admit, place, forward. State comes from controllers that watch the
//! platform's store. Every decision (matching, placement, circuit breaking, retry limits, weight orders) is in a module
//! without I/O, so that a test can replay a load against it without a socket. The formats of the platform and the
//! endpoints are behind [`Translation`], which the adapter in `platform/` implements. See `docs/design/platform.md`.

mod admission;
mod cache_index;
mod cache_scope;
mod callers;
mod change_log;
mod clock;
mod cold_endpoints;
mod connections;
mod controllers;
mod cost;
mod departed;
mod deployment;
mod endpoint_limits;
mod endpoints;
mod evacuation;
mod event_stream;
mod features;
mod filters;
mod forward;
mod gateway;
mod health;
mod in_flight;
mod kept_quarantines;
mod key_validity;
mod local_state;
mod metrics;
mod obstacle;
mod part_plan;
mod part_sharing;
mod part_values;
mod peer_loads;
mod placement;
mod planned_stop;
mod propagation;
mod publications;
mod readers;
mod regions;
mod relay;
mod request_log;
mod response_end;
mod response_meter;
mod responses;
mod retry_budget;
mod revision_times;
mod rollout;
mod server;
mod settings;
mod slowness;
mod store_contact;
mod store_parts;
mod translation;
mod weight_plan;

pub use admission::{Admission, Contention, Forecast, admit};
pub use cache_index::{
    HolderKind, HolderLoad, HolderTraits, HolderView, PartReport, PartTag, PartUpdate,
};
pub use cache_scope::{CacheScope, ScopeError};
pub use change_log::{ChangeBatch, ChangeLog, MissedChanges, ObjectChange};
pub use clock::Clock;
pub use cold_endpoints::{
    ColdChange, ColdEndpoints, ColdEvidence, ColdLimit, ColdReport, ColdSource, LimitContext,
    SuspicionReport,
};
pub use connections::connection_share;
pub use cost::{
    PlacedPrompt, PlacedPrompts, PoolSpeeds, SpeedEstimate, SpeedReport, SpeedSums, Speeds,
    is_announced,
};
pub use deployment::{
    CallerLimits, ColdStart, Deployment, EngineTraits, RetryPolicy, Route, RouteTarget, Service,
    StoreTraits, Team,
};
pub use endpoint_limits::{EndpointLimits, LimitChange, LimitReport, LimitSharers, LimitStatement};
pub use endpoints::{EndpointRecord, EndpointState, EndpointTable, ServedModel};
pub use evacuation::{EvacuationChange, EvacuationView, Evacuations, learns_of_evacuations};
pub use event_stream::{EventBuffer, EventPosition};
pub use gateway::{Gateway, SetupError};
pub use health::{CircuitState, EndpointHealth};
pub use kept_quarantines::{KeptError, KeptQuarantines};
pub use key_validity::KeyValidity;
pub use obstacle::{Obstacle, SendFacts, obstacle};
pub use part_plan::{LocatedParts, PartPlan, PrefixFacts, TargetEngine, Transfer, plan_parts};
pub use part_sharing::{IsolatedTeams, PartSharing, TeamSetDigest};
pub use part_values::{
    EvictionStep, LEARNING_MS, PartAccount, PartOutcome, PartUsage, PendingUses, STEP_INTERVAL_MS,
    SaveOutcome, StoreContents, StoreEviction, UseEstimate, UsesReport, grace_ms,
};
pub use peer_loads::{
    EndpointLoad, EndpointTag, EngineParts, LoadMessage, PeerLoad, PeerLoads, PendingEngineParts,
    RankTokens, UsageMessage, report_interval_ms,
};
pub use placement::{
    Candidate, Choice, PlacementRequest, PromptShape, Reason, WeightConstraints, place,
};
pub use planned_stop::PlannedStop;
pub use propagation::{ConfirmationStep, PropagationLimits};
pub use publications::{PublishedVersion, PublishedWeights, StartBound};
pub use readers::{ReadReason, ReaderSelection, passed_on_confirmation, passed_on_deadline};
pub use regions::{DataCentreRegions, RegionLimit, RegionSet};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use revision_times::{DateSpan, RevisionTimes};
pub use rollout::engine_time_ms;
pub use server::{ServeError, serve};
pub use settings::{Bounds, GatewaySettings, SettingChange, setting_change};
pub use slowness::Slowness;
pub use store_contact::RecoveryLimits;
pub use store_parts::split_changes;
pub use translation::{
    CacheChange, CacheChanges, CacheSnapshot, CallerFacts, DecodeError, EngineReport, ForwardFacts,
    OrderReply, PartKey, PartSource, PromptFacts, PromptPart, ResponseFacts, Resumption,
    TranslateCaches, TranslateOrders, Translation, WeightLoad, WeightTarget,
};
pub use weight_plan::{EngineWeights, SentOrders, WeightOrder, WeightPlan, plan_weights};
