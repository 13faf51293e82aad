//! Retry budgets of this instance; the only layer that retries.

use bilberryford_coord::{RetryBudgets, RetryClass};
use bilberryford_types::{PoolName, TeamName};

use crate::node::Node;

impl Node {
    /// Counts the first try of a request that is dispatched.
    pub(crate) fn first_try(&self, team: &TeamName, pool: &PoolName) {
        self.retries.lock().record_first_attempt(team, pool, self.now());
    }

    /// Takes one retry from the budgets of `team` and `pool`, if both have one.
    pub(crate) fn take_retry(&self, team: &TeamName, pool: &PoolName, class: RetryClass) -> bool {
        let is_taken = self.retries.lock().try_take(team, pool, class, self.now());
        if is_taken {
            self.metrics.retried(class);
        }
        is_taken
    }
}

/// The budgets, behind the lock that the node keeps them in.
pub(crate) type Retries = parking_lot::Mutex<RetryBudgets>;
