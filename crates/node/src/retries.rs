//! Retry budgets of this instance, the only layer that retries.

use bilberryford_coord::{RetryBudgets, RetryClass};
use bilberryford_types::{PoolName, TeamName};

use crate::node::Node;

impl Node {
    /// Counts the first attempt of a request that is dispatched.
    pub(crate) fn count_first_attempt(&self, team: &TeamName, pool: &PoolName) {
        self.retries.lock().record_first_attempt(team, pool, self.now());
    }

    /// Takes one retry from the budgets of `team` and `pool`. Returns false if either has none left.
    pub(crate) fn take_retry(&self, team: &TeamName, pool: &PoolName, class: RetryClass) -> bool {
        let is_taken = self.retries.lock().try_take(team, pool, class, self.now());
        if is_taken {
            self.metrics.count_retry(class);
        }
        is_taken
    }
}

/// The retry budgets, behind their lock.
pub(crate) type Retries = parking_lot::Mutex<RetryBudgets>;
