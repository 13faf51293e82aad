//! Which instances keep the record of a stream.

use std::{cmp::Reverse, collections::HashSet};

use super::StreamKey;
use crate::ownership::weight;

/// An instance that may keep records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamKeeper<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre, if known.
    pub data_centre: Option<&'a str>,
}

/// Returns the indices of `instances` in the order in which they keep the record of a stream.
///
/// The order is that of rendezvous hashing, except that the best instance of each data centre comes before the others, so
/// that the first ones outlive the loss of a data centre. Instances that see different fleets agree on most of it.
pub fn ranked_keepers(instances: &[StreamKeeper<'_>], key: &StreamKey) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..instances.len()).collect();
    ranked.sort_by_cached_key(|&index| {
        let name = instances[index].name;
        Reverse((weight(name, key.as_bytes()), name))
    });
    let mut seen = HashSet::new();
    let (mut first, rest): (Vec<usize>, Vec<usize>) =
        ranked.into_iter().partition(|&index| seen.insert(instances[index].data_centre));
    first.extend(rest);
    first
}

/// Moves the keepers that are not live behind the others; both parts stay in their order.
///
/// An instance that `is_newcomer` leaves the order as it is: it has had messages from those only that happened to send
/// first, such as the ones that started with it and know nothing.
pub fn live_first(
    ranked: Vec<usize>,
    is_newcomer: bool,
    is_live: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let (mut first, rest): (Vec<usize>, Vec<usize>) =
        ranked.into_iter().partition(|&index| is_newcomer || is_live(index));
    first.extend(rest);
    first
}
