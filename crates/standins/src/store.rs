//! A store of cache blocks with limited memory and disk, whose spaces are freed and reused.
//!
//! The store gives readers no consistency: a space may be freed, reused or partly written while it is read. Readers rely
//! on the checks of [`bilberryford_cache::Manifest`].

mod serve;

use std::collections::{BTreeMap, HashMap};

use bilberryford_cache::{BlockOwner, Manifest, Piece, Tier, piece_digest};
use bilberryford_types::{Bytes, Digest, Generation};

pub use serve::{StoreFaults, StoreService, StoreSpec, StoreStats};

/// The location of an export in its store; spaces are reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Space(pub usize);

#[derive(Debug, Default)]
struct Export {
    generation: u64,
    pieces: Vec<(Digest, Vec<u8>)>,
    manifest: Option<Manifest>,
    is_on_disk: bool,
    last_used: u64,
}

/// A store of exports in two tiers, memory and disk.
#[derive(Debug)]
pub struct Store {
    capacity: [usize; 2],
    piece_counts: [usize; 2],
    by_last_use: [BTreeMap<u64, Space>; 2],
    spaces: Vec<Export>,
    free_spaces: Vec<Space>,
    by_block: HashMap<Digest, Space>,
    clock: u64,
}

impl Store {
    /// Creates an empty store with room for the given numbers of pieces in memory and on disk.
    pub fn new(memory_pieces: usize, disk_pieces: usize) -> Self {
        Self {
            capacity: [memory_pieces, disk_pieces],
            piece_counts: [0; 2],
            by_last_use: Default::default(),
            spaces: Vec::new(),
            free_spaces: Vec::new(),
            by_block: HashMap::new(),
            clock: 0,
        }
    }

    /// Opens a space for an export. Its blocks can't be found before [`Store::publish`].
    pub fn begin(&mut self) -> Space {
        self.free_spaces.pop().unwrap_or_else(|| {
            self.spaces.push(Export::default());
            Space(self.spaces.len() - 1)
        })
    }

    /// Appends one piece to a space.
    pub fn write(&mut self, space: Space, block: Digest, bytes: Vec<u8>) {
        if let Some(export) = self.spaces.get_mut(space.0) {
            export.pieces.push((block, bytes));
        }
    }

    /// Returns the manifest of the pieces written so far, which the writer passes to [`Store::publish`].
    pub fn manifest_of(&self, space: Space, owner: &BlockOwner, piece_size: Bytes) -> Manifest {
        let export = &self.spaces[space.0];
        let piece = |(block, bytes): &(Digest, Vec<u8>)| Piece {
            block: *block,
            digest: piece_digest(bytes),
            size: piece_size,
        };
        Manifest {
            owner: owner.clone(),
            generation: Generation(export.generation),
            count: u32::try_from(export.pieces.len()).unwrap_or(u32::MAX),
            pieces: export.pieces.iter().map(piece).collect(),
        }
    }

    /// Makes an export visible in memory. If memory is over its limit, its least recently used exports move to disk; if
    /// disk is, its least recently used ones are evicted. Returns the blocks that moved, with their new tier, or `None`
    /// for evicted ones.
    pub fn publish(&mut self, space: Space, manifest: Manifest) -> Vec<(Digest, Option<Tier>)> {
        manifest.pieces.iter().for_each(|piece| {
            self.by_block.insert(piece.block, space);
        });
        self.piece_counts[0] += manifest.pieces.len();
        self.spaces[space.0].manifest = Some(manifest);
        self.use_space(space);
        self.make_room()
    }

    fn make_room(&mut self) -> Vec<(Digest, Option<Tier>)> {
        let mut moved = Vec::new();
        while self.piece_counts[0] > self.capacity[0] {
            let Some((last_used, space)) = self.by_last_use[0].pop_first() else { break };
            let export = &mut self.spaces[space.0];
            export.is_on_disk = true;
            self.piece_counts[0] -= export.pieces.len();
            self.piece_counts[1] += export.pieces.len();
            self.by_last_use[1].insert(last_used, space);
            moved.extend(export.pieces.iter().map(|(block, _)| (*block, Some(Tier::Disk))));
        }
        while self.piece_counts[1] > self.capacity[1] {
            let Some((_, space)) = self.by_last_use[1].first_key_value() else { break };
            moved.extend(self.free(*space).into_iter().map(|block| (block, None)));
        }
        moved
    }

    /// Frees a space, even while it is being read, and returns the blocks that it contained.
    pub fn free(&mut self, space: Space) -> Vec<Digest> {
        let export = &mut self.spaces[space.0];
        let tier = usize::from(export.is_on_disk);
        if export.manifest.is_some() {
            self.piece_counts[tier] -= export.pieces.len();
        }
        self.by_last_use[tier].remove(&export.last_used);
        let generation = export.generation + 1;
        let old = std::mem::replace(export, Export { generation, ..Export::default() });
        self.free_spaces.push(space);
        let blocks: Vec<_> = old.pieces.into_iter().map(|(block, _)| block).collect();
        for block in &blocks {
            if self.by_block.get(block) == Some(&space) {
                self.by_block.remove(block);
            }
        }
        blocks
    }

    /// Returns the space and tier of a block; the reader must check what it reads there.
    pub fn find(&self, block: &Digest) -> Option<(Space, Tier)> {
        let space = *self.by_block.get(block)?;
        let tier = if self.spaces[space.0].is_on_disk { Tier::Disk } else { Tier::Memory };
        Some((space, tier))
    }

    /// Returns the manifest of the current content of a space.
    pub fn manifest(&self, space: Space) -> Option<&Manifest> {
        self.spaces.get(space.0)?.manifest.as_ref()
    }

    /// Returns the bytes of the piece that is at `index` in a space at this time.
    pub fn read(&self, space: Space, index: usize) -> Option<&[u8]> {
        self.spaces.get(space.0)?.pieces.get(index).map(|(_, bytes)| bytes.as_slice())
    }

    /// Returns the generation of a space, which grows each time the space is freed.
    pub fn generation(&self, space: Space) -> Generation {
        Generation(self.spaces.get(space.0).map_or(0, |export| export.generation))
    }

    /// Marks a space as the most recently used of its tier.
    pub fn use_space(&mut self, space: Space) {
        self.clock += 1;
        let export = &mut self.spaces[space.0];
        let by_last_use = &mut self.by_last_use[usize::from(export.is_on_disk)];
        by_last_use.remove(&export.last_used);
        export.last_used = self.clock;
        by_last_use.insert(self.clock, space);
    }

    /// Returns all visible blocks with their tier.
    pub fn blocks(&self) -> impl Iterator<Item = (&Digest, Tier)> {
        self.by_block.keys().filter_map(|block| Some((block, self.find(block)?.1)))
    }
}
