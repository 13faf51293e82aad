//! Tracks the era of the store, from what its answers say.

use bilberryford_types::StoreEra;
use tokio::sync::watch;

/// The highest era that an answer of the store named.
#[derive(Debug)]
pub struct EraTracker(watch::Sender<StoreEra>);

impl Default for EraTracker {
    fn default() -> Self {
        Self(watch::Sender::new(StoreEra::default()))
    }
}

impl EraTracker {
    /// The latest era that an answer named.
    pub fn current(&self) -> StoreEra {
        *self.0.borrow()
    }

    /// Records the era that an answer named. Returns false if a later one is known, so that the answer is of a history
    /// that is lost.
    pub fn record(&self, era: StoreEra) -> bool {
        self.0.send_if_modified(|current| {
            let is_later = era > *current;
            *current = era.max(*current);
            is_later
        });
        self.current() <= era
    }

    /// Waits until the store is in a later era than `known`.
    pub async fn wait_after(&self, known: StoreEra) -> StoreEra {
        let mut eras = self.0.subscribe();
        let found = eras.wait_for(|era| *era > known).await.map(|era| *era);
        match found {
            Ok(era) => era,
            // The sender lives as long as this tracker, so that no later era can come.
            Err(_) => std::future::pending().await,
        }
    }
}
