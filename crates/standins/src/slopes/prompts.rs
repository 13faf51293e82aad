//! What the index of known prompts costs as they grow, without any process.

use std::{hint::black_box, time::Instant};

use bilberryford_cache::{BlockIndex, StoreSlot, Tier};
use bilberryford_types::Digest;
use serde::Serialize;

use super::fit::Fit;

/// How many blocks a known prompt has.
const BLOCKS: u64 = 5;
/// How many prompts are known.
const POINTS: [u32; 4] = [1_000, 10_000, 50_000, 100_000];
/// How many look-ups are timed.
const LOOK_UPS: u64 = 100_000;

/// One size of the index.
#[derive(Debug, Serialize)]
pub(super) struct PromptPoint {
    axis: &'static str,
    value: u32,
    index_bytes: f64,
    look_up_ns: f64,
}

/// The growth of the index for each known prompt.
#[derive(Debug, Serialize)]
pub(super) struct PromptSlope {
    axis: &'static str,
    quantity: &'static str,
    #[serde(flatten)]
    fit: Fit,
}

/// All sizes, and the line through their bytes.
pub(super) fn measure() -> (Vec<PromptPoint>, PromptSlope) {
    let points: Vec<_> = POINTS.into_iter().map(point).collect();
    let pairs: Vec<_> =
        points.iter().map(|point| (f64::from(point.value), point.index_bytes)).collect();
    (points, PromptSlope { axis: "prompts", quantity: "index_bytes", fit: Fit::of(&pairs) })
}

fn point(prompts: u32) -> PromptPoint {
    let mut index = BlockIndex::new(usize::MAX >> 1);
    let blocks = u64::from(prompts) * BLOCKS;
    for number in 0..blocks {
        let store = StoreSlot(u8::from(number % 2 == 1));
        index.set_store_tier(&block(number), store, Some(Tier::Disk));
    }
    let asked: Vec<_> = (0..LOOK_UPS).map(|number| block(number * 7 % blocks)).collect();
    let started = Instant::now();
    for block in &asked {
        black_box(index.holders(block));
    }
    let look_up_ns = started.elapsed().as_secs_f64() * 1e9 / LOOK_UPS as f64;
    PromptPoint {
        axis: "prompts",
        value: prompts,
        index_bytes: index.memory_bytes() as f64,
        look_up_ns,
    }
}

fn block(number: u64) -> Digest {
    Digest(*blake3::hash(&number.to_le_bytes()).as_bytes())
}
