//! The features of a request by which a crash of its endpoint may be explained: the request itself, and the parts of its
//! prompt that other requests share.

use std::fmt::Write as _;

use bilberryford_coord::Feature;
use bilberryford_types::{ModelName, TimeMs};

use crate::{part_plan::shared_parts, translation::CallerFacts};

/// The most parts that a log line names.
const MAX_LOGGED_PARTS: usize = 12;

/// How far the response to a request had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ResponseStage {
    /// Nothing had come.
    NoHead,
    /// Its head had come, and no content.
    Head,
    /// Content had come for this long.
    Content {
        /// The time since the first content.
        age_ms: TimeMs,
    },
}

impl ResponseStage {
    /// The stage of a response of which the head has come, and the first content at `first_content_ms`.
    pub(crate) fn after_head(first_content_ms: Option<TimeMs>, now_ms: TimeMs) -> Self {
        first_content_ms.map_or(Self::Head, |at_ms| Self::Content { age_ms: now_ms.since(at_ms) })
    }

    pub(crate) fn content_age_ms(self) -> Option<TimeMs> {
        match self {
            Self::Content { age_ms } => Some(age_ms),
            Self::NoHead | Self::Head => None,
        }
    }
}

/// How the response to a request that its endpoint may have begun to run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Loss<'a> {
    /// Its connection failed, with this error.
    Connection(&'a str),
    /// It was given up at the time limit of its attempt. An endpoint that ended silently shows no other sign.
    Silence,
}

impl Loss<'_> {
    pub(crate) fn error(&self) -> &str {
        match self {
            Self::Connection(error) => error,
            Self::Silence => "",
        }
    }
}

/// The features of one request.
#[derive(Debug)]
pub(crate) struct RequestFeatures {
    request_id: Option<String>,
    /// The request itself, then the shared parts of its prompt.
    features: Vec<Feature>,
    model: Option<ModelName>,
    /// The ids of the shared parts of its prompt, in order.
    part_ids: Vec<String>,
}

impl RequestFeatures {
    pub(crate) fn new(request: Feature, facts: &CallerFacts) -> Self {
        let prompt = facts.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| shared_parts(&prompt.parts));
        let model = prompt.map_or("", |prompt| prompt.model.as_str());
        let of_parts = parts.iter().map(|part| Feature::of_part(model, &part.id));
        let mut features: Vec<_> = [request].into_iter().chain(of_parts).collect();
        features.dedup();
        Self {
            request_id: facts.request_id.clone(),
            features,
            model: prompt.map(|prompt| prompt.model.clone()),
            part_ids: parts.iter().map(|part| part.id.clone()).collect(),
        }
    }

    /// All features.
    pub(crate) fn all(&self) -> &[Feature] {
        &self.features
    }

    /// The request itself.
    pub(crate) fn request(&self) -> Feature {
        self.features[0]
    }

    pub(crate) fn request_id(&self) -> &str {
        self.request_id.as_deref().unwrap_or_default()
    }

    /// The name of one of its features for the log: the part's id, which only requests that have it know, and the hash by
    /// which instances report it.
    pub(crate) fn describe(&self, feature: Feature) -> String {
        let model = self.model.as_ref().map_or("", |model| model.as_str());
        let is_named = |id: &&String| Feature::of_part(model, id) == feature;
        match self.part_ids.iter().find(is_named) {
            Some(id) => format!("part {id} {feature}"),
            None => format!("request {feature}"),
        }
    }

    /// The model and the ids of the shared parts, for the log.
    pub(crate) fn parts_text(&self) -> String {
        let mut text = self.model.as_ref().map(ToString::to_string).unwrap_or_default();
        for id in self.part_ids.iter().take(MAX_LOGGED_PARTS) {
            // Writing to a string does not fail.
            let _ = write!(text, " {id}");
        }
        if self.part_ids.len() > MAX_LOGGED_PARTS {
            let _ = write!(text, " and {} more", self.part_ids.len() - MAX_LOGGED_PARTS);
        }
        text
    }
}
