//! Rendezvous hashing: who owns a piece of soft state.
//!
//! An owner saves conflicts and duplicate work; it never makes anything true. Two instances with different views may
//! both take themselves for the owner, and what must hold then is held by a conditional update.

use bilberryford_types::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(instance: &InstanceId, key: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(instance.as_str().as_bytes(), 0);
    xxh3_64_with_seed(key, seed)
}

/// The instance among `members` that owns `key`; none when there are no members.
pub fn rendezvous_owner<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
) -> Option<&'a InstanceId> {
    members.into_iter().max_by_key(|member| (weight(member, key), member.as_str()))
}

/// The `count` first owners of `key`, the owner first.
pub fn rendezvous_owners<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse((weight(member, key), member.as_str())));
    ranked.truncate(count);
    ranked
}
