//! Chooses the endpoint for an attempt, and where a prompt's parts come from and go to.

use bilberryford_types::{ErrorKind, TimeMs};

use super::{Forward, NO_ENDPOINT_RETRY_MS, Progress};
use crate::{
    admission::{Admission, Forecast, admit},
    answers::OwnAnswer,
    cache_index::holder_at,
    cache_scope::CacheScope,
    gateway::reader,
    in_flight::TokenDemand,
    part_plan::{PartPlan, plan_parts, shared_parts},
    placement::{Candidate, PlacementRequest, PromptShape, Reason, place},
    slowness::nominal_ms,
};

/// How many ranks of routes are told apart within one rank of teams.
const RANKS_OF_ROUTES: u8 = 3;
/// The least urgent rank that endpoints know.
const LAST_RANK: u8 = 9;

/// Where a request goes.
pub(super) struct Chosen {
    pub(super) candidate: Candidate,
    pub(super) reason: Reason,
    pub(super) need: TokenDemand,
}

impl Forward {
    /// A team's rank goes before that of the route, which decides within it.
    pub(super) fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        let team = team.map_or(0, |rank| rank.saturating_mul(RANKS_OF_ROUTES));
        team.saturating_add(self.route.rank.min(RANKS_OF_ROUTES - 1)).min(LAST_RANK)
    }

    pub(super) fn choose(&mut self, progress: &Progress) -> Result<Chosen, OwnAnswer> {
        let model = self.facts.prompt.as_ref().map(|prompt| &prompt.model);
        let mut candidates = self.gateway.candidates(&self.service, model, self.rank());
        let (min_weight_version, preferred_weight_version) =
            model.map_or((None, None), |model| self.gateway.weights_wanted(model));
        let parts = self.facts.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        self.gateway.fill_prefixes(&mut candidates, parts, |at| self.cache_scope(at));
        let prompt = self.facts.prompt.as_ref().map(|prompt| PromptShape {
            tokens: u64::from(prompt.input_tokens.get()),
            memory_tokens: u64::from(prompt.input_tokens.get())
                + u64::from(prompt.max_output_tokens.get()),
            shared_part: shared_parts(parts).last().map(|part| part.id.as_str()),
        });
        let memory_tokens = prompt.map_or(0, |prompt| prompt.memory_tokens);
        let request = PlacementRequest {
            prompt,
            min_weight_version,
            preferred_weight_version,
            tried: &progress.tried,
            tie_break_seed: rand::random(),
        };
        let choice = place(&candidates, &request);
        let Some(index) = choice.index else {
            self.line.placed = choice.reason.into();
            let kind = match choice.reason {
                Reason::AllTried => ErrorKind::EndpointRefused,
                Reason::AllFull => ErrorKind::Overloaded,
                _ => ErrorKind::NoEndpoint,
            };
            return Err(OwnAnswer::after(progress.kind(kind), NO_ENDPOINT_RETRY_MS));
        };
        if progress.offers == 0 && request.prompt.is_some() && choice.reason != Reason::Trial {
            let forecast = Forecast {
                first_token_ms: TimeMs(nominal_ms(choice.cost_tokens) as u64),
                waiting_tokens: candidates[index].waiting_tokens,
                left_ms: self.left_ms(),
                timeout_ms: self.route.timeout_ms,
                target_ms: self.route.target_latency_ms,
            };
            if let Admission::RetryAfter(after_ms) = admit(&forecast) {
                self.line.placed = choice.reason.into();
                self.line.notes.push("predicted_late");
                self.line.prompt.queue_tokens = forecast.waiting_tokens;
                return Err(OwnAnswer::after(progress.kind(ErrorKind::Overloaded), after_ms));
            }
        }
        Ok(Chosen {
            candidate: candidates[index].clone(),
            reason: choice.reason,
            need: TokenDemand { waiting_tokens: choice.work_tokens, memory_tokens },
        })
    }

    /// An engine that refuses the listed weights probably has the named ones, which the list tells only later.
    pub(super) fn shows_newer_weights(&self, candidate: &Candidate) -> bool {
        let Some(prompt) = &self.facts.prompt else { return false };
        let weights = self.gateway.weights.lock();
        let newest = weights.get(&prompt.model).map_or(0, |named| named.newest());
        drop(weights);
        if candidate.weight_version.is_none_or(|version| version >= newest) {
            return false;
        }
        let mut local = self.gateway.local.lock();
        local.entry(candidate.id.clone()).or_default().shown_weights = Some(newest);
        true
    }

    /// A request that waits in the queue of an engine with older weights must not begin after the bound.
    pub(super) fn old_weights_left_ms(&self, candidate: &Candidate) -> TimeMs {
        let prompt = self.facts.prompt.as_ref().zip(candidate.weight_version);
        let left = prompt
            .and_then(|(prompt, version)| self.gateway.old_weights_left_ms(&prompt.model, version));
        left.unwrap_or(TimeMs(u64::MAX))
    }

    /// Cached parts are found only under the same model, weights and, for an isolated team, team.
    pub(super) fn cache_scope(&self, candidate: &Candidate) -> Option<String> {
        let prompt = self.facts.prompt.as_ref()?;
        let version = candidate.weight_version?;
        let team = self.team.as_ref().filter(|team| team.is_isolated);
        let scope = CacheScope {
            model: prompt.model.clone(),
            weight_version: version,
            team: team.map(|team| team.name.clone()),
        };
        Some(scope.to_string())
    }

    /// Where the prompt's shared parts come from, and where those go that no store has.
    pub(super) fn part_plan(&self, candidate: &Candidate) -> PartPlan {
        let (Some(prompt), Some(scope)) = (&self.facts.prompt, self.cache_scope(candidate)) else {
            return PartPlan::default();
        };
        let token_bytes = self.gateway.token_bytes();
        let now_ms = self.gateway.clock.now();
        let endpoints = self.gateway.endpoints.lock();
        let reader = reader(&endpoints, candidate, token_bytes);
        let mut holders = self.gateway.holders.lock();
        let plan = plan_parts(&mut holders, &scope, &prompt.parts, &reader, now_ms);
        if let Some(engine) = holder_at(&mut holders, candidate.address) {
            engine.apply_part_reports(&plan.expected, now_ms);
        }
        drop(holders);
        let told = plan.expected.iter().copied();
        self.gateway.engine_parts.lock().add(candidate.incarnation, told);
        plan
    }
}
