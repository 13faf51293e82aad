//! Changes of a store's contents in messages that fit into datagrams.
//!
//! After a start many parts are saved between two polls. Their changes take more than one datagram, and a message that is
//! too large isn't sent, so that all instances without a subscription would miss them until their next snapshot.

use crate::translation::CacheChanges;

/// Splits changes after the cursor `since` into groups that take at most `max_bytes` each, with their cursors.
///
/// The cursors between the groups are known only if each change advances the cursor by one. Otherwise the changes are
/// returned as they are.
pub fn split_changes(
    since: u64,
    changes: CacheChanges,
    max_bytes: usize,
) -> Vec<(u64, CacheChanges)> {
    let size = |value: &CacheChanges| postcard::experimental::serialized_size(value).unwrap_or(0);
    let is_contiguous = changes.next.checked_sub(since) == Some(changes.changes.len() as u64);
    if size(&changes) <= max_bytes || !is_contiguous {
        return vec![(since, changes)];
    }
    let CacheChanges { epoch, has_gap, is_leaving, .. } = changes;
    let empty = |next| CacheChanges { epoch, next, has_gap, is_leaving, changes: Vec::new() };
    // The number of changes in the group may take another byte.
    let empty_bytes = size(&empty(changes.next)) + 1;
    let (mut groups, mut group, mut group_since) = (Vec::new(), empty(since), since);
    let mut bytes = empty_bytes;
    for change in changes.changes {
        let change_bytes = postcard::experimental::serialized_size(&change).unwrap_or(0);
        if bytes + change_bytes > max_bytes && !group.changes.is_empty() {
            let next = group.next;
            groups.push((group_since, std::mem::replace(&mut group, empty(next))));
            (group_since, bytes) = (next, empty_bytes);
        }
        bytes += change_bytes;
        group.next += 1;
        group.changes.push(change);
    }
    groups.push((group_since, group));
    groups
}
