//! Partitions of a pool: each cell is a group of endpoints in one data centre for which one instance decides placement.
//!
//! The cells and their owners are a pure function of the pool's list and the live members, so that instances with the
//! same list agree without communication. While their lists differ, two instances may place requests on the same
//! endpoints, which costs queueing time at an engine but violates no guarantee. See `docs/design/placement.md`.
//!
//! # Invariant
//!
//! Each listed endpoint is in exactly one cell, and no cell has more than [`MAX_CELL_ENDPOINTS`]. Endpoints are
//! ordered by a hash of their names, and a range of hashes is halved while it holds more than that. An endpoint that
//! joins or leaves the list therefore splits or merges at most one range; all other cells keep their endpoints.

use std::collections::BTreeMap;

use bilberryford_types::{DataCentreId, Digest, EndpointId, InstanceId, PoolName};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::rendezvous_owner;

/// The most endpoints of one cell.
pub const MAX_CELL_ENDPOINTS: usize = 32;

/// Identifies a cell within its pool. When a range is halved, the first half keeps the id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId {
    data_centre: DataCentreId,
    /// Lower bound of the range of hashes.
    begin: u64,
    /// Index among the cells of a range that can't be halved further because all hashes are equal.
    part: usize,
}

/// A group of endpoints in one data centre with one owning instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    id: CellId,
    seed: u64,
    endpoints: Vec<EndpointId>,
}

impl Cell {
    fn new(pool: &PoolName, id: CellId, members: &[HashedEndpoint]) -> Self {
        let endpoints = members.iter().map(|member| member.endpoint.clone()).collect();
        let pool_seed = xxh3_64(pool.as_str().as_bytes());
        let data_centre_seed = xxh3_64_with_seed(id.data_centre.as_str().as_bytes(), pool_seed);
        let begin_seed = xxh3_64_with_seed(&id.begin.to_le_bytes(), data_centre_seed);
        let seed = xxh3_64_with_seed(&id.part.to_le_bytes(), begin_seed);
        Self { id, seed, endpoints }
    }

    /// The id of the cell.
    pub const fn id(&self) -> &CellId {
        &self.id
    }

    /// The data centre of all its endpoints.
    pub const fn data_centre(&self) -> &DataCentreId {
        &self.id.data_centre
    }

    /// The endpoints, at most [`MAX_CELL_ENDPOINTS`].
    pub fn endpoints(&self) -> &[EndpointId] {
        &self.endpoints
    }

    /// The live member that decides placement in the cell; one of the cell's data centre if any is live.
    ///
    /// The result is advisory: members with different views may arrive at different owners.
    pub fn owner<'a>(&self, live: &[(&'a InstanceId, &'a DataCentreId)]) -> Option<&'a InstanceId> {
        let key = self.seed.to_le_bytes();
        let local = live.iter().filter(|(_, centre)| *centre == self.data_centre());
        let all = live.iter().map(|(instance, _)| *instance);
        rendezvous_owner(local.map(|(instance, _)| *instance), &key)
            .or_else(|| rendezvous_owner(all, &key))
    }

    /// The score of the cell for a key in weighted rendezvous hashing: its share of the keys is proportional to its
    /// size.
    fn score(&self, key: &[u8]) -> f64 {
        let hash = xxh3_64_with_seed(key, self.seed) >> 11;
        // In (0, 1], so that the logarithm is finite.
        let unit = (hash + 1) as f64 / (1_u64 << 53) as f64;
        unit.ln() / self.endpoints.len() as f64
    }
}

/// An endpoint with the hash of its name.
struct HashedEndpoint {
    hash: u64,
    endpoint: EndpointId,
}

/// The cells of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cells {
    cells: Vec<Cell>,
    /// Index into `cells` of each endpoint's cell.
    cell_index: BTreeMap<EndpointId, usize>,
}

impl Cells {
    /// Partitions the endpoints of a pool; an endpoint that is listed twice counts once.
    pub fn new(
        pool: &PoolName,
        listed: impl IntoIterator<Item = (EndpointId, DataCentreId)>,
    ) -> Self {
        let mut centre_of = BTreeMap::<EndpointId, DataCentreId>::new();
        for (endpoint, centre) in listed {
            // An endpoint listed in two data centres gets the lesser one, so that the result is independent of the
            // order of the list.
            let least = centre_of.get(&endpoint).is_none_or(|known| centre < *known);
            if least {
                centre_of.insert(endpoint, centre);
            }
        }
        let mut by_centre = BTreeMap::<DataCentreId, Vec<HashedEndpoint>>::new();
        for (endpoint, centre) in centre_of {
            let hash = xxh3_64(endpoint.as_str().as_bytes());
            by_centre.entry(centre).or_default().push(HashedEndpoint { hash, endpoint });
        }
        let mut cells = Vec::new();
        for (centre, mut members) in by_centre {
            members.sort_by(|a, b| (a.hash, &a.endpoint).cmp(&(b.hash, &b.endpoint)));
            let begin = CellId { data_centre: centre, begin: 0, part: 0 };
            split_range(pool, begin, u64::BITS, &members, &mut cells);
        }
        let indexed = cells.iter().enumerate();
        let cell_index = indexed
            .flat_map(|(index, cell)| cell.endpoints.iter().map(move |id| (id.clone(), index)))
            .collect();
        Self { cells, cell_index }
    }

    /// All cells, in the order of their ids.
    pub fn all(&self) -> &[Cell] {
        &self.cells
    }

    /// The cell that contains the endpoint.
    pub fn of_endpoint(&self, endpoint: &EndpointId) -> Option<&Cell> {
        self.cell_index.get(endpoint).map(|index| &self.cells[*index])
    }

    /// The cell for prompts that begin with this block: a returning prompt is routed to the cell that has it cached.
    pub fn of_prompt(&self, first_block: &Digest) -> Option<&Cell> {
        let score = |cell: &&Cell| cell.score(&first_block.0);
        self.cells.iter().max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// A cell for a prompt shorter than one block: the less loaded of two that are drawn at random by size.
    ///
    /// `load` is only called for these two, so that the caller need not track the load of every cell.
    pub fn pick_by_load(&self, rng: &mut impl Rng, load: impl Fn(&Cell) -> f64) -> Option<&Cell> {
        let first = self.draw(rng)?;
        let second = self.draw(rng)?;
        Some(if load(second) < load(first) { second } else { first })
    }

    /// Draws a cell with a probability proportional to its size.
    fn draw(&self, rng: &mut impl Rng) -> Option<&Cell> {
        let total = self.cells.iter().map(|cell| cell.endpoints.len()).sum::<usize>();
        if total == 0 {
            return None;
        }
        let mut offset = rng.random_range(0..total);
        self.cells.iter().find(|cell| {
            let is_drawn = offset < cell.endpoints.len();
            offset = offset.saturating_sub(cell.endpoints.len());
            is_drawn
        })
    }
}

/// Splits a range of hashes that differ in their lowest `bits` bits only into cells.
fn split_range(
    pool: &PoolName,
    id: CellId,
    bits: u32,
    members: &[HashedEndpoint],
    cells: &mut Vec<Cell>,
) {
    if members.is_empty() {
        return;
    }
    if members.len() <= MAX_CELL_ENDPOINTS {
        cells.push(Cell::new(pool, id, members));
        return;
    }
    let Some(bits) = bits.checked_sub(1) else {
        let parts = members.chunks(MAX_CELL_ENDPOINTS).enumerate();
        cells
            .extend(parts.map(|(part, some)| Cell::new(pool, CellId { part, ..id.clone() }, some)));
        return;
    };
    let middle = id.begin | (1 << bits);
    let (low, high) = members.split_at(members.partition_point(|member| member.hash < middle));
    let second = CellId { begin: middle, ..id.clone() };
    split_range(pool, id, bits, low, cells);
    split_range(pool, second, bits, high, cells);
}
