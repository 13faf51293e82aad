//! Measures the memory and the look-up time of the block index as the number of prompts grows, without any process.

use std::{hint::black_box, time::Instant};

use bilberryford_cache::{BlockIndex, StoreSlot, Tier};
use bilberryford_types::Digest;
use serde::Serialize;

use super::fit::Fit;

const BLOCKS_PER_PROMPT: u64 = 5;
/// Numbers of prompts in the index.
const PROMPT_COUNTS: [u32; 4] = [1_000, 10_000, 50_000, 100_000];
/// Look-ups that are timed for each point.
const LOOKUP_COUNT: u64 = 100_000;

/// One size of the index.
#[derive(Debug, Serialize)]
pub(super) struct PromptPoint {
    axis: &'static str,
    value: u32,
    index_bytes: f64,
    look_up_ns: f64,
}

/// The growth of the index per prompt.
#[derive(Debug, Serialize)]
pub(super) struct PromptSlope {
    axis: &'static str,
    quantity: &'static str,
    #[serde(flatten)]
    fit: Fit,
}

/// Measures all sizes and fits a line to their bytes.
pub(super) fn measure() -> (Vec<PromptPoint>, PromptSlope) {
    let points: Vec<_> = PROMPT_COUNTS.into_iter().map(measure_point).collect();
    let pairs: Vec<_> =
        points.iter().map(|point| (f64::from(point.value), point.index_bytes)).collect();
    (points, PromptSlope { axis: "prompts", quantity: "index_bytes", fit: Fit::of(&pairs) })
}

fn measure_point(prompts: u32) -> PromptPoint {
    let mut index = BlockIndex::new(usize::MAX >> 1);
    let blocks = u64::from(prompts) * BLOCKS_PER_PROMPT;
    for number in 0..blocks {
        let store = StoreSlot(u8::from(number % 2 == 1));
        index.set_store_tier(&block(number), store, Some(Tier::Disk));
    }
    let looked_up: Vec<_> = (0..LOOKUP_COUNT).map(|number| block(number * 7 % blocks)).collect();
    let started = Instant::now();
    for block in &looked_up {
        black_box(index.holders(block));
    }
    let look_up_ns = started.elapsed().as_secs_f64() * 1e9 / LOOKUP_COUNT as f64;
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
