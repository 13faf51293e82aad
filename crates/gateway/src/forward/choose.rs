//! Chooses the endpoint for an attempt, and plans the transfers of its prompt's parts.

use std::collections::BTreeSet;

use bilberryford_coord::{ShareKey, ShareTag};
use bilberryford_types::{ErrorKind, TimeMs};

use super::{Forward, NO_ENDPOINT_RETRY_MS, Progress};
use crate::{
    admission::{Admission, Forecast},
    cache_index::holder_at,
    cache_scope::CacheScope,
    controllers::announce_prompt,
    cost::PlacedPrompt,
    gateway::{ShareRequest, WaitingBound, target_engine},
    in_flight::TokenDemand,
    obstacle::Obstacle,
    part_plan::{PartPlan, plan_parts, shared_parts},
    placement::{Candidate, PlacementRequest, PromptShape, Reason, place},
    regions::RegionLimit,
    request_log::ShareRecord,
    responses::ErrorResponse,
    slowness::{engine_ms, nominal_ms},
};

/// The number of route ranks within each team rank.
const ROUTE_RANKS: u8 = 3;
/// The least urgent rank that endpoints accept.
const MAX_RANK: u8 = 9;

/// The retry delay while the whole pool is evacuated, in milliseconds. Its end is not known in advance; instances learn of it
/// within about this time.
const EVACUATED_RETRY_MS: TimeMs = TimeMs(1_000);
/// The slowness of an engine without a sample, in percent of the nominal time.
const NOMINAL_PERCENT: u32 = 100;

/// The choice of an endpoint.
pub(super) struct ChosenEndpoint {
    pub(super) candidate: Candidate,
    pub(super) reason: Reason,
    pub(super) demand: TokenDemand,
    /// The engine time for its prompt; none for a plain call.
    pub(super) engine_ms: Option<TimeMs>,
}

/// The time at which the first endpoint takes requests again, if none takes one before: each is closed or full.
fn earliest_reopening_ms(candidates: &[Candidate]) -> Option<TimeMs> {
    let reopenings = candidates.iter().filter_map(|candidate| match candidate.obstacle {
        Some(Obstacle::Closed { until_ms } | Obstacle::Limited { until_ms }) => Some(until_ms),
        _ => None,
    });
    reopenings.min().filter(|_| candidates.iter().all(|candidate| candidate.obstacle.is_some()))
}

/// The kinds of obstacles at a pool of which no endpoint can be chosen, for the log.
fn obstacle_names(candidates: &[Candidate]) -> BTreeSet<&'static str> {
    candidates.iter().filter_map(|candidate| candidate.obstacle).map(Into::into).collect()
}

impl Forward {
    /// The priority rank: the team's rank, subdivided by the route's.
    pub(super) fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        let team = team.map_or(0, |rank| rank.saturating_mul(ROUTE_RANKS));
        team.saturating_add(self.route.rank.min(ROUTE_RANKS - 1)).min(MAX_RANK)
    }

    /// The share whose engine time the request uses.
    pub(super) fn share(&self) -> ShareKey {
        let team = self.team.as_ref().map_or("", |team| team.name.as_str());
        ShareKey { rank: self.rank(), tag: ShareTag::new(team, &self.route.name) }
    }

    /// Admits a prompt at its first attempt, or refuses it with a retry-after time.
    fn admit(
        &mut self,
        forecast: Forecast,
        engines: usize,
        progress: &Progress,
    ) -> Result<(), ErrorResponse> {
        let request = ShareRequest {
            service: &self.service,
            share: self.share(),
            engines,
            request: self.features.request().hash(),
        };
        let decision = self.gateway.admit_share(&request, forecast);
        if let Some(decided) = decision.standing {
            self.record.share = ShareRecord {
                standing: decided.standing.into(),
                used_ms: decided.used_ms,
                level_ms: decided.level_ms.unwrap_or(0),
            };
        }
        if decision.is_return {
            self.record.notes.push("promised_return");
        }
        let Admission::RetryAfter(after_ms) = decision.admission else { return Ok(()) };
        self.record.notes.push("predicted_late");
        self.record.prompt.queue_tokens = forecast.waiting_tokens;
        let kind = progress.error_kind(ErrorKind::Overloaded);
        Err(ErrorResponse::with_retry_after(kind, after_ms))
    }

    pub(super) fn choose_endpoint(
        &mut self,
        progress: &Progress,
    ) -> Result<ChosenEndpoint, ErrorResponse> {
        self.record.endpoints_version = self.gateway.endpoint_log.lock().complete_to();
        self.record.endpoints_age_ms = self.gateway.store_contact_age_ms();
        let model = self.facts.prompt.as_ref().map(|prompt| &prompt.model);
        let mut candidates = self.gateway.candidates(&self.service, model, self.rank());
        if let Some(model) = model {
            self.gateway.fill_start_bounds(&mut candidates, model);
        }
        if let Some(regions) = &self.allowed_regions
            && !self.gateway.retain_allowed(&mut candidates, regions)
        {
            self.record.placed = Reason::NoAllowedRegion.into();
            let kind = progress.error_kind(ErrorKind::RegionUnavailable);
            return Err(ErrorResponse::new(kind));
        }
        let mut weights =
            model.map(|model| self.gateway.weight_constraints(model)).unwrap_or_default();
        // Without a version of weights, the prompt's cached parts have no scope, and other teams could use them.
        let needs_weights = model.is_some() && self.gateway.has_engines(&self.service);
        weights.min = weights.min.or(needs_weights.then_some(0));
        let parts = self.facts.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        let regions = self.allowed_regions.as_ref();
        self.gateway.fill_prefix_facts(&mut candidates, parts, regions, |candidate| {
            self.cache_scope(candidate)
        });
        let prompt = self.facts.prompt.as_ref().map(|prompt| PromptShape {
            tokens: u64::from(prompt.input_tokens.get()),
            memory_tokens: u64::from(prompt.input_tokens.get())
                + u64::from(prompt.max_output_tokens.get()),
            shared_part: shared_parts(parts).last().map(|part| part.id.as_str()),
        });
        let memory_tokens = prompt.map_or(0, |prompt| prompt.memory_tokens);
        let request = PlacementRequest {
            prompt,
            weights,
            build: self.stream.required_build(),
            tried: &progress.tried,
            is_apart: progress.is_apart,
            tie_break_seed: rand::random(),
        };
        let choice = place(&candidates, &request);
        let Some(index) = choice.index else {
            self.record.placed = choice.reason.into();
            self.record.notes.extend(obstacle_names(&candidates));
            let kind = match choice.reason {
                Reason::AllTried => ErrorKind::EndpointRefused,
                Reason::AllFull | Reason::AllClosed => ErrorKind::Overloaded,
                Reason::OtherBuild => ErrorKind::StreamEnded,
                // Another build may begin it anew elsewhere.
                Reason::Evacuated if request.build.is_some() => ErrorKind::StreamEnded,
                _ => ErrorKind::NoEndpoint,
            };
            let retry_after_ms = match choice.reason {
                Reason::Evacuated if kind == ErrorKind::NoEndpoint => EVACUATED_RETRY_MS,
                _ => earliest_reopening_ms(&candidates)
                    .map_or(NO_ENDPOINT_RETRY_MS, |at_ms| at_ms.since(self.gateway.clock.now())),
            };
            return Err(ErrorResponse::with_retry_after(progress.error_kind(kind), retry_after_ms));
        };
        let predicted_ms = TimeMs(nominal_ms(choice.cost_tokens) as u64);
        let slowness_percent = candidates[index].slowness_percent.unwrap_or(NOMINAL_PERCENT);
        let own_work_ms = engine_ms(choice.work_tokens, slowness_percent);
        let has_prompt = request.prompt.is_some();
        if progress.sent_attempts == 0 && has_prompt && choice.reason != Reason::Trial {
            let forecast = Forecast {
                first_token_ms: predicted_ms,
                own_work_ms,
                rank_per_mille: 1_000,
                waiting_tokens: candidates[index].waiting_tokens,
                left_ms: self.time_left_ms(),
                timeout_ms: self.route.timeout_ms,
                target_ms: self.route.target_latency_ms,
                is_continuation: self.stream.required_build().is_some(),
            };
            self.record.placed = choice.reason.into();
            let usable = candidates.iter().filter(|candidate| candidate.obstacle.is_none());
            self.admit(forecast, usable.count(), progress)?;
        }
        Ok(ChosenEndpoint {
            candidate: candidates[index].clone(),
            reason: choice.reason,
            demand: TokenDemand {
                waiting_tokens: choice.work_tokens,
                memory_tokens,
                predicted_ms: (choice.cost_tokens > 0).then_some(predicted_ms),
            },
            engine_ms: has_prompt.then_some(own_work_ms),
        })
    }

    /// Announces the work of this prompt to the other instances, which would learn of it with the next load report.
    pub(super) fn announce(&self, candidate: &Candidate, demand: TokenDemand) {
        let to_u32 = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        let prompt = PlacedPrompt {
            instance: self.gateway.settings.instance.to_string(),
            endpoint: candidate.incarnation,
            rank: self.rank(),
            waiting_tokens: to_u32(demand.waiting_tokens),
            memory_tokens: to_u32(demand.memory_tokens),
        };
        announce_prompt(&self.gateway, &prompt);
    }

    /// Assumes that an engine that rejected the listed weights has the newest published ones, since the list lags.
    ///
    /// Returns false if the engine's known weights are already the newest, or the request has no prompt.
    pub(super) fn infer_newer_weights(&self, candidate: &Candidate) -> bool {
        let Some(prompt) = &self.facts.prompt else { return false };
        let weights = self.gateway.weights.lock();
        let newest = weights.get(&prompt.model).map_or(0, |published| published.newest());
        drop(weights);
        if candidate.weight_version.is_none_or(|version| version >= newest) {
            return false;
        }
        let mut local = self.gateway.local.lock();
        local.entry(candidate.id.clone()).or_default().observed_weights = Some(newest);
        true
    }

    /// The bound on the start of this request at an engine, should its weights be older ones or become that; none for a plain
    /// call.
    pub(super) fn start_bound(&self, candidate: &Candidate) -> Option<WaitingBound> {
        let (prompt, version) = self.facts.prompt.as_ref().zip(candidate.weight_version)?;
        Some(self.gateway.waiting_bound(&prompt.model, version))
    }

    /// The scope of cached parts: the model, the weights, the teams that share them and the allowed regions.
    pub(super) fn cache_scope(&self, candidate: &Candidate) -> Option<String> {
        let prompt = self.facts.prompt.as_ref()?;
        let version = candidate.weight_version?;
        let scope = CacheScope {
            model: prompt.model.clone(),
            weight_version: version,
            sharing: self.sharing.clone(),
            regions: self.allowed_regions.clone(),
        };
        Some(scope.to_string())
    }

    /// Plans from where the prompt's shared parts are fetched, and where those that no store has are saved.
    pub(super) fn part_plan(&self, candidate: &Candidate) -> PartPlan {
        let (Some(prompt), Some(scope)) = (&self.facts.prompt, self.cache_scope(candidate)) else {
            return PartPlan::default();
        };
        let token_bytes = self.gateway.token_bytes();
        let now_ms = self.gateway.clock.now();
        let endpoints = self.gateway.endpoints.lock();
        let limit = RegionLimit::new(&self.gateway.settings.regions, self.allowed_regions.as_ref());
        let target_engine = target_engine(&endpoints, candidate, token_bytes, limit);
        let mut holders = self.gateway.holders.lock();
        let plan = plan_parts(&mut holders, &scope, &prompt.parts, &target_engine, now_ms);
        if let Some(engine) = holder_at(&mut holders, candidate.address) {
            engine.apply_part_reports(&plan.expected, now_ms);
        }
        drop(holders);
        self.gateway.record_part_uses(&plan.uses);
        let updates = plan.expected.iter().copied();
        self.gateway.pending_engine_parts.lock().add(candidate.incarnation, updates);
        plan
    }
}
