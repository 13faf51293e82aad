//! Time per decision, with 12 engines and with the most that a pool can have.

use std::hint::black_box;

use bilberryford_cache::{
    BlockIndex, CostWeights, EngineSlot, EngineView, LinkTable, LoadSample, LoadView,
    PlacementRequest, PlacementView, PrefixChain, StoreSlot, Tier, TransferClass, decide,
};
use bilberryford_types::{Bytes, BytesPerSec, Digest, TimeMs, Tokens};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::StdRng};

const BLOCKS: u64 = 5;

fn chain(prompt: u64) -> PrefixChain {
    let block_digest =
        |block: u64| Digest(*blake3::hash(&(prompt * BLOCKS + block).to_le_bytes()).as_bytes());
    PrefixChain::from_blocks((0..BLOCKS).map(block_digest).collect())
}

fn view(engines: u8, prompts: u64) -> PlacementView {
    let rates = [BytesPerSec(6_000_000_000), BytesPerSec(2_500_000_000)];
    let mut view = PlacementView {
        engines: Vec::new(),
        index: BlockIndex::new(400_000),
        links: LinkTable::new(&[rates, rates]),
        cost_weights: CostWeights { recompute_ms_per_token: 0.02, link_ms_per_mib: 0.2 },
        piece_size: Bytes(128 << 20),
    };
    for slot in 0..engines {
        let mut load = LoadView::new(8.0);
        load.apply_report(LoadSample {
            taken_ms: TimeMs(0),
            backlog: Tokens(u32::from(slot) * 100),
        });
        (1..16).for_each(|at| load.record_dispatch(TimeMs(at), Tokens(1_000)));
        view.engines.push(EngineView { slot: EngineSlot(slot), is_usable: true, load });
    }
    for prompt in 0..prompts {
        for (position, block) in chain(prompt).blocks().iter().enumerate() {
            let store = StoreSlot(u8::try_from(position % 2).unwrap_or(0));
            view.index.set_store_tier(block, store, Some(Tier::Disk));
        }
    }
    view
}

fn benches(criterion: &mut Criterion) {
    for (name, engines, prompts) in [("today", 12, 10_000), ("cell_of_32", 32, 10_000)] {
        let view = view(engines, prompts);
        let chains: Vec<_> = (0..1_000).map(chain).collect();
        let mut rng = StdRng::seed_from_u64(1);
        let mut next = 0;
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                next = (next + 1) % chains.len();
                let request = PlacementRequest {
                    chain: &chains[next],
                    tokens: Tokens(10_500),
                    class: TransferClass::Interactive,
                };
                black_box(decide(&view, &request, TimeMs(20), &mut rng))
            });
        });
    }
}

criterion_group!(decisions, benches);
criterion_main!(decisions);
