//! Rendezvous hashing: assigns an owner to each key of soft state.
//!
//! Ownership reduces conflicts and duplicate work, and guarantees nothing: two instances with different views may both
//! consider themselves the owner of a key. Guarantees then rest on conditional updates.

use bilberryford_types::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub(crate) fn weight(instance: &str, key: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(instance.as_bytes(), 0);
    xxh3_64_with_seed(key, seed)
}

/// Returns the instance among `members` that owns `key`, or `None` if there are no members.
pub fn rendezvous_owner<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
) -> Option<&'a InstanceId> {
    members.into_iter().max_by_key(|member| (weight(member.as_str(), key), member.as_str()))
}

/// Returns the `count` highest-ranked instances for `key`, the owner first.
pub fn rendezvous_owners<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse((weight(member.as_str(), key), member.as_str())));
    ranked.truncate(count);
    ranked
}
