//! The division of a total among the instances that share it, without messages of its own.
//!
//! An equal part with a floor of one passes a total that has fewer units than there are instances: a hundred instances
//! that each take one unit of a total of ten take a hundred. Here the instances are in an order on which they agree, by
//! rendezvous hashing of the total's key, and the first ones take what is left over after an even division. The parts
//! add up to exactly the total, and an instance may have none.
//!
//! # Invariant
//!
//! For one view of the members, the parts of all places sum to the total. Instances whose views differ may add up to
//! more: at most one total for each group of instances that do not see each other.

/// An instance's place among those that share a total.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharePlace {
    rank: u64,
    sharers: u64,
}

impl SharePlace {
    /// The place of `rank`, from zero, among `sharers` instances.
    pub fn new(rank: u64, sharers: u64) -> Self {
        Self { rank, sharers: sharers.max(rank.saturating_add(1)) }
    }

    /// The same place where at least `sharers` instances share the total.
    pub fn among(self, sharers: u64) -> Self {
        Self::new(self.rank, self.sharers.max(sharers))
    }

    /// The number of instances that share the total.
    pub const fn sharers(self) -> u64 {
        self.sharers
    }

    /// The part of this place in `total` units.
    pub const fn part(self, total: u64) -> u64 {
        total / self.sharers + (self.rank < total % self.sharers) as u64
    }

    /// True if this is one of the first `holders` places.
    pub const fn is_among(self, holders: u64) -> bool {
        self.rank < holders
    }
}
