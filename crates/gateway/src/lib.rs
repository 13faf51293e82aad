//! The front end for routed requests: opaque calls and streams, matched by host and path and forwarded unchanged.
//!
//! Requests pass a chain of filters: identify, admit, place, forward. State comes from controllers that follow the
//! platform's store. Everything that decides (matching, placing, breaking, bounding repeats, planning weight orders) is
//! a module without input or output, so that a test can replay a load against it without a socket. How the platform and
//! the endpoints spell things is behind [`Translation`], which the adapter in `platform/` implements. See
//! `docs/design/platform.md`.

mod admission;
mod answers;
mod body;
mod cache_index;
mod cache_scope;
mod callers;
mod clock;
mod connections;
mod controllers;
mod deployment;
mod endpoints;
mod filters;
mod forward;
mod gateway;
mod health;
mod in_flight;
mod key_validity;
mod metrics;
mod part_plan;
mod peer_loads;
mod placement;
mod repeats;
mod request_log;
mod rollout;
mod server;
mod settings;
mod slowness;
mod suspects;
mod translation;

pub use admission::{Admit, Forecast, admit};
pub use cache_index::{
    HolderKind, HolderLoad, HolderTraits, HolderView, PartNews, PartTag, ToldPart,
};
pub use cache_scope::{CacheScope, ScopeError};
pub use clock::Clock;
pub use connections::connection_share;
pub use deployment::{
    CallerLimits, Deployment, EngineTraits, Repeatable, Route, RouteTarget, Service, StoreTraits,
    Team,
};
pub use endpoints::{EndpointRecord, EndpointState, EndpointTable, ServedModel};
pub use gateway::{Gateway, SetupError};
pub use health::{EndpointHealth, Standing};
pub use key_validity::KeyValidity;
pub use part_plan::{LocatedParts, PartPlan, PrefixFacts, Reader, Transfer, plan_parts};
pub use peer_loads::{
    EndpointLoad, EndpointTag, EngineParts, EnginePartsToTell, LoadMessage, PeerLoad, PeerLoads,
    RankTokens,
};
pub use placement::{Candidate, Choice, PlacementRequest, PromptShape, Reason, place};
pub use repeats::{RepeatBudget, RepeatLimits};
pub use rollout::{EngineWeights, NamedWeights, WeightOrder, WeightPlan, plan_weights};
pub use server::{ServeError, serve};
pub use settings::{Bounds, GatewaySettings};
pub use slowness::Slowness;
pub use suspects::{Fingerprint, Suspects};
pub use translation::{
    AnswerFacts, CacheChange, CacheChanges, CacheContent, CallerFacts, DecodeError, EngineReport,
    ForwardFacts, OrderReply, PartKey, PartSource, PromptFacts, PromptPart, TranslateCaches,
    TranslateOrders, Translation, WeightLoad, WeightTarget,
};
