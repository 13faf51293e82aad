//! The account of a prompt's shared parts: where its engine gets each one from, and why it is prefilled if it is.
//!
//! A part that is prefilled again costs its engine many times what a fetch would have cost. The account names the reason
//! as far as the instance that places the prompt can tell, so that the log shows which decision to improve.

use bilberryford_types::Tokens;

use crate::cache_index::PartTag;

/// Where an engine gets a shared part from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PartOutcome {
    /// It has the part in memory, or will have it after the prefill of an earlier prompt.
    Cached,
    /// It fetches the part.
    Fetched,
    /// It prefills the part, since an earlier part of the prompt is prefilled: engines match whole prefixes.
    PrefixMissing,
    /// It prefills the part, since every fetch would cost more than it saves.
    FetchTooSlow,
    /// It prefills the part, since only engines without a subscription of this instance are said to have it.
    EngineOnly,
    /// It prefills the part, which no holder is known to have, while the contents of some store are not known.
    StoreUnknown,
    /// It prefills the part, which no holder is known to have.
    NotHeld,
}

/// What becomes of a part that no store has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SaveOutcome {
    /// A store has it, or it is too short to be saved.
    NotNeeded,
    /// The engine saves it.
    Requested,
    /// A save by an earlier request of this instance is in progress.
    InProgress,
    /// It is not saved this time, since another part would have to be evicted for it.
    NotAdmitted,
    /// No store has room for it.
    NoRoom,
}

/// The account of one shared part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartAccount {
    /// The part.
    pub part: PartTag,
    /// Its length.
    pub tokens: Tokens,
    /// Where the engine gets it from.
    pub outcome: PartOutcome,
    /// What becomes of it afterwards.
    pub save: SaveOutcome,
}

impl std::fmt::Display for PartAccount {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { part, tokens, outcome, save } = self;
        write!(f, "{part}:{}:{outcome}", tokens.get())?;
        match save {
            SaveOutcome::NotNeeded => Ok(()),
            _ => write!(f, "+{save}"),
        }
    }
}
