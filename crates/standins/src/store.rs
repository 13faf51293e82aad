//! A store of cache blocks: memory and disk of limited size, spaces that are freed and used again.
//!
//! The store promises little: a reader may find a space freed, used again or half written. What is read is safe only by
//! the checks of [`bilberryford_cache::Manifest`].

mod serve;

use std::collections::{BTreeMap, HashMap};

use bilberryford_cache::{Manifest, Owner, Piece, Tier, piece_digest};
use bilberryford_types::{Bytes, Digest, Generation};

pub use serve::{StoreFaults, StoreService, StoreSpec, StoreStats};

/// The place of an export in its store; places are used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Space(pub usize);

#[derive(Debug, Default)]
struct Export {
    generation: u64,
    pieces: Vec<(Digest, Vec<u8>)>,
    manifest: Option<Manifest>,
    is_on_disk: bool,
    used: u64,
}

/// A store instance.
#[derive(Debug)]
pub struct Store {
    limits: [usize; 2],
    held: [usize; 2],
    by_use: [BTreeMap<u64, Space>; 2],
    spaces: Vec<Export>,
    free: Vec<Space>,
    by_block: HashMap<Digest, Space>,
    clock: u64,
}

impl Store {
    /// An empty store with room for that many pieces in memory and on disk.
    pub fn new(memory_pieces: usize, disk_pieces: usize) -> Self {
        Self {
            limits: [memory_pieces, disk_pieces],
            held: [0; 2],
            by_use: Default::default(),
            spaces: Vec::new(),
            free: Vec::new(),
            by_block: HashMap::new(),
            clock: 0,
        }
    }

    /// Opens a space for an export; nothing in it can be found before [`Store::publish`].
    pub fn begin(&mut self) -> Space {
        self.free.pop().unwrap_or_else(|| {
            self.spaces.push(Export::default());
            Space(self.spaces.len() - 1)
        })
    }

    /// Writes one piece.
    pub fn write(&mut self, space: Space, block: Digest, bytes: Vec<u8>) {
        if let Some(export) = self.spaces.get_mut(space.0) {
            export.pieces.push((block, bytes));
        }
    }

    /// The manifest of what was written so far; the writer hands it back to [`Store::publish`].
    pub fn manifest_of(&self, space: Space, owner: &Owner, piece_size: Bytes) -> Manifest {
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

    /// Makes an export visible in memory; older ones move to disk and from there go, the least recently used first.
    /// Answers the blocks that moved, with their new tier if they are still here.
    pub fn publish(&mut self, space: Space, manifest: Manifest) -> Vec<(Digest, Option<Tier>)> {
        manifest.pieces.iter().for_each(|piece| {
            self.by_block.insert(piece.block, space);
        });
        self.held[0] += manifest.pieces.len();
        self.spaces[space.0].manifest = Some(manifest);
        self.use_space(space);
        self.make_room()
    }

    fn make_room(&mut self) -> Vec<(Digest, Option<Tier>)> {
        let mut moved = Vec::new();
        while self.held[0] > self.limits[0] {
            let Some((used, space)) = self.by_use[0].pop_first() else { break };
            let export = &mut self.spaces[space.0];
            export.is_on_disk = true;
            self.held[0] -= export.pieces.len();
            self.held[1] += export.pieces.len();
            self.by_use[1].insert(used, space);
            moved.extend(export.pieces.iter().map(|(block, _)| (*block, Some(Tier::Disk))));
        }
        while self.held[1] > self.limits[1] {
            let Some((_, space)) = self.by_use[1].first_key_value() else { break };
            moved.extend(self.free(*space).into_iter().map(|block| (block, None)));
        }
        moved
    }

    /// Frees a space, whoever may be reading it; answers what was in it.
    pub fn free(&mut self, space: Space) -> Vec<Digest> {
        let export = &mut self.spaces[space.0];
        let tier = usize::from(export.is_on_disk);
        if export.manifest.is_some() {
            self.held[tier] -= export.pieces.len();
        }
        self.by_use[tier].remove(&export.used);
        let generation = export.generation + 1;
        let old = std::mem::replace(export, Export { generation, ..Export::default() });
        self.free.push(space);
        let blocks: Vec<_> = old.pieces.into_iter().map(|(block, _)| block).collect();
        for block in &blocks {
            if self.by_block.get(block) == Some(&space) {
                self.by_block.remove(block);
            }
        }
        blocks
    }

    /// Where a block is, for a reader that checks.
    pub fn find(&self, block: &Digest) -> Option<(Space, Tier)> {
        let space = *self.by_block.get(block)?;
        let tier = if self.spaces[space.0].is_on_disk { Tier::Disk } else { Tier::Memory };
        Some((space, tier))
    }

    /// The manifest of what is in a space now.
    pub fn manifest(&self, space: Space) -> Option<&Manifest> {
        self.spaces.get(space.0)?.manifest.as_ref()
    }

    /// The bytes of the piece at `place` in a space, whatever is there now.
    pub fn read(&self, space: Space, place: usize) -> Option<&[u8]> {
        self.spaces.get(space.0)?.pieces.get(place).map(|(_, bytes)| bytes.as_slice())
    }

    /// The generation of a space.
    pub fn generation(&self, space: Space) -> Generation {
        Generation(self.spaces.get(space.0).map_or(0, |export| export.generation))
    }

    /// Counts a space as used.
    pub fn use_space(&mut self, space: Space) {
        self.clock += 1;
        let export = &mut self.spaces[space.0];
        let by_use = &mut self.by_use[usize::from(export.is_on_disk)];
        by_use.remove(&export.used);
        export.used = self.clock;
        by_use.insert(self.clock, space);
    }

    /// All blocks that can be found, with their tier.
    pub fn blocks(&self) -> impl Iterator<Item = (&Digest, Tier)> {
        self.by_block.keys().filter_map(|block| Some((block, self.find(block)?.1)))
    }
}
