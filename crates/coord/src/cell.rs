//! Cells: the groups of at most [`MAX_CELL_ENDPOINTS`] endpoints of a pool in one data centre that one instance decides for.
//!
//! Everything here is a function of the pool's list and the live members, so instances that read the same list agree
//! without a word. Their lists may differ for a while; then two instances decide for the same endpoints, which costs
//! time at an engine and makes nothing wrong. See `docs/design/placement.md`.
//!
//! # Invariant
//!
//! Each listed endpoint is in exactly one cell, and no cell has more than [`MAX_CELL_ENDPOINTS`]. Endpoints are ordered by a
//! hash of their names, and a range of hashes is halved while it holds more than [`MAX_CELL_ENDPOINTS`]. One endpoint that comes
//! or goes therefore splits or joins at most one range; all other cells keep their endpoints.

use std::collections::BTreeMap;

use bilberryford_types::{DataCentreId, Digest, EndpointId, InstanceId, PoolName};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::rendezvous_owner;

/// How many endpoints a cell has at most.
pub const MAX_CELL_ENDPOINTS: usize = 32;

/// The name of a cell within its pool; a range that is halved leaves its name to its first half.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId {
    data_centre: DataCentreId,
    /// Where the range of hashes begins.
    begin: u64,
    /// Which part of a range that can't be halved further.
    part: usize,
}

/// One cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    id: CellId,
    seed: u64,
    endpoints: Vec<EndpointId>,
}

impl Cell {
    fn new(pool: &PoolName, id: CellId, members: &[Hashed]) -> Self {
        let endpoints = members.iter().map(|member| member.endpoint.clone()).collect();
        let pool_seed = xxh3_64(pool.as_str().as_bytes());
        let site_seed = xxh3_64_with_seed(id.data_centre.as_str().as_bytes(), pool_seed);
        let begin_seed = xxh3_64_with_seed(&id.begin.to_le_bytes(), site_seed);
        let seed = xxh3_64_with_seed(&id.part.to_le_bytes(), begin_seed);
        Self { id, seed, endpoints }
    }

    /// Its name.
    pub const fn id(&self) -> &CellId {
        &self.id
    }

    /// Where its endpoints are.
    pub const fn data_centre(&self) -> &DataCentreId {
        &self.id.data_centre
    }

    /// Its endpoints, at most [`MAX_CELL_ENDPOINTS`].
    pub fn endpoints(&self) -> &[EndpointId] {
        &self.endpoints
    }

    /// The live member that decides for the cell, one of its own data centre when there is any.
    ///
    /// This steers only: members with different views may name different instances.
    pub fn owner<'a>(&self, live: &[(&'a InstanceId, &'a DataCentreId)]) -> Option<&'a InstanceId> {
        let key = self.seed.to_le_bytes();
        let near = live.iter().filter(|(_, site)| *site == self.data_centre());
        let all = live.iter().map(|(instance, _)| *instance);
        rendezvous_owner(near.map(|(instance, _)| *instance), &key)
            .or_else(|| rendezvous_owner(all, &key))
    }

    /// The cell's rank for a key in weighted rendezvous; its share of keys grows with its size.
    fn rank(&self, key: &[u8]) -> f64 {
        let hash = xxh3_64_with_seed(key, self.seed) >> 11;
        // Within (0, 1], so that the logarithm is finite.
        let unit = (hash + 1) as f64 / (1_u64 << 53) as f64;
        unit.ln() / self.endpoints.len() as f64
    }
}

/// An endpoint with the hash of its name.
struct Hashed {
    hash: u64,
    endpoint: EndpointId,
}

/// The cells of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cells {
    cells: Vec<Cell>,
    /// The place in `cells` of each endpoint's cell.
    place_of: BTreeMap<EndpointId, usize>,
}

impl Cells {
    /// The cells of a pool that has these endpoints; an endpoint that is listed twice counts once.
    pub fn new(
        pool: &PoolName,
        listed: impl IntoIterator<Item = (EndpointId, DataCentreId)>,
    ) -> Self {
        let mut site_of = BTreeMap::<EndpointId, DataCentreId>::new();
        for (endpoint, site) in listed {
            // The order of the list must not matter.
            let least = site_of.get(&endpoint).is_none_or(|known| site < *known);
            if least {
                site_of.insert(endpoint, site);
            }
        }
        let mut by_site = BTreeMap::<DataCentreId, Vec<Hashed>>::new();
        for (endpoint, site) in site_of {
            let hash = xxh3_64(endpoint.as_str().as_bytes());
            by_site.entry(site).or_default().push(Hashed { hash, endpoint });
        }
        let mut cells = Vec::new();
        for (site, mut members) in by_site {
            members.sort_by(|a, b| (a.hash, &a.endpoint).cmp(&(b.hash, &b.endpoint)));
            let begin = CellId { data_centre: site, begin: 0, part: 0 };
            halve(pool, begin, u64::BITS, &members, &mut cells);
        }
        let places = cells.iter().enumerate();
        let place_of = places
            .flat_map(|(place, cell)| cell.endpoints.iter().map(move |id| (id.clone(), place)))
            .collect();
        Self { cells, place_of }
    }

    /// All cells, in the order of their names.
    pub fn all(&self) -> &[Cell] {
        &self.cells
    }

    /// The cell of an endpoint.
    pub fn of_endpoint(&self, endpoint: &EndpointId) -> Option<&Cell> {
        self.place_of.get(endpoint).map(|place| &self.cells[*place])
    }

    /// The cell of prompts that begin with this block, so that a returning prompt meets the cell that knows it.
    pub fn of_prompt(&self, first_block: &Digest) -> Option<&Cell> {
        let rank = |cell: &&Cell| cell.rank(&first_block.0);
        self.cells.iter().max_by(|a, b| rank(a).total_cmp(&rank(b)))
    }

    /// A cell for a prompt that fills no block: the less loaded of two that are drawn by size.
    ///
    /// `load` is asked of the two only, so no one has to follow the load of all cells.
    pub fn pick_by_load(&self, rng: &mut impl Rng, load: impl Fn(&Cell) -> f64) -> Option<&Cell> {
        let first = self.draw(rng)?;
        let second = self.draw(rng)?;
        Some(if load(second) < load(first) { second } else { first })
    }

    /// Draws a cell with a probability in proportion to its size.
    fn draw(&self, rng: &mut impl Rng) -> Option<&Cell> {
        let total = self.cells.iter().map(|cell| cell.endpoints.len()).sum::<usize>();
        if total == 0 {
            return None;
        }
        let mut left = rng.random_range(0..total);
        self.cells.iter().find(|cell| {
            let is_here = left < cell.endpoints.len();
            left = left.saturating_sub(cell.endpoints.len());
            is_here
        })
    }
}

/// Makes a range of hashes, which `bits` bits tell apart, into cells.
fn halve(pool: &PoolName, id: CellId, bits: u32, members: &[Hashed], cells: &mut Vec<Cell>) {
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
    halve(pool, id, bits, low, cells);
    halve(pool, second, bits, high, cells);
}
