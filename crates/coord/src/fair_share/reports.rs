//! What instances report to each other of the usage of a pool. Every report may be lost, repeated, late or reordered.
//!
//! A report holds the sums of the sender's window, so that a repeated one changes nothing, and the next one makes up for
//! one that was lost.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use super::{FairShares, ShareKey, ShareTag, usage::UsageSum};

/// The most shares in one report, so that it fits into one datagram.
pub const MAX_REPORTED_SHARES: usize = 80;
/// The shortest time for which a report is used, in milliseconds.
const MIN_EXPIRY_MS: u64 = 1_500;
/// The reports that may be lost before the last one is no longer used.
const EXPIRY_REPORTS: u64 = 3;
/// The most peers whose reports are retained.
const MAX_PEERS: usize = 1_024;
/// The most shares that the reports of all peers may name; the usage of further ones counts as unlisted.
const MAX_SHARES_OF_PEERS: usize = 4_096;

/// The usage of one share at the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUsage {
    /// The share.
    pub share: ShareKey,
    /// The engine time that it was given in the window.
    pub used_ms: u32,
    /// The engine time that it was refused in the window.
    pub refused_ms: u32,
}

/// The usage of a pool at one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// A number that is new with each start of the sender.
    pub process_number: u64,
    /// The number of the report within the process.
    pub sequence: u64,
    /// True if the sender itself saw pressure. A report that only answers another one does not prolong the pressure.
    pub is_pressed: bool,
    /// The shares with the largest demand, and the sum of the others.
    pub shares: Vec<ShareUsage>,
}

/// The last report of a peer.
#[derive(Debug, Clone)]
pub(super) struct PeerUsage {
    process_number: u64,
    sequence: u64,
    received_ms: TimeMs,
    pub(super) is_pressed: bool,
    sums: BTreeMap<ShareKey, UsageSum>,
}

fn saturated(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

impl FairShares {
    /// Sets the interval at which instances report.
    pub fn set_report_interval(&mut self, interval_ms: TimeMs) {
        self.report_interval_ms = interval_ms;
    }

    /// The report for the other instances; none without pressure, here or at a peer.
    pub fn report(
        &mut self,
        process_number: u64,
        sequence: u64,
        now_ms: TimeMs,
    ) -> Option<UsageReport> {
        self.expire_peers(now_ms);
        if !self.has_pressure(now_ms) {
            return None;
        }
        let mut sums: Vec<_> = self.own.sums(now_ms).collect();
        if sums.len() > MAX_REPORTED_SHARES {
            sums.sort_by_key(|(share, sum)| (Reverse(sum.demand_ms()), *share));
            let mut unlisted: BTreeMap<u8, UsageSum> = BTreeMap::new();
            // An entry of each rank that occurs is left for those that are not listed.
            let ranks: BTreeSet<u8> = sums.iter().map(|(share, _)| share.rank).collect();
            let listed = MAX_REPORTED_SHARES.saturating_sub(ranks.len());
            for (share, sum) in sums.drain(listed..) {
                let total = unlisted.entry(share.rank).or_default();
                *total = total.plus(sum);
            }
            let unlisted = unlisted.into_iter().take(MAX_REPORTED_SHARES - listed);
            sums.extend(
                unlisted.map(|(rank, sum)| (ShareKey { rank, tag: ShareTag::UNLISTED }, sum)),
            );
        }
        let shares = sums.into_iter().map(|(share, sum)| ShareUsage {
            share,
            used_ms: saturated(sum.used_ms),
            refused_ms: saturated(sum.refused_ms),
        });
        let is_pressed = self.has_own_pressure(now_ms);
        Some(UsageReport { process_number, sequence, is_pressed, shares: shares.collect() })
    }

    /// Applies a peer's report, and returns true unless a later one of the same process was applied before.
    pub fn apply_report(&mut self, peer: &str, report: &UsageReport, now_ms: TimeMs) -> bool {
        let is_later = self.peers.get(peer).is_none_or(|last| {
            last.process_number != report.process_number || last.sequence < report.sequence
        });
        if !is_later || (self.peers.len() >= MAX_PEERS && !self.peers.contains_key(peer)) {
            return false;
        }
        self.remove_peer(peer);
        let mut sums: BTreeMap<ShareKey, UsageSum> = BTreeMap::new();
        for usage in report.shares.iter().take(MAX_REPORTED_SHARES) {
            let has_room = self.reported.len() < MAX_SHARES_OF_PEERS
                || self.reported.contains_key(&usage.share);
            let tag = if has_room { usage.share.tag } else { ShareTag::UNLISTED };
            let share = ShareKey { tag, ..usage.share };
            let added = UsageSum {
                used_ms: u64::from(usage.used_ms),
                refused_ms: u64::from(usage.refused_ms),
            };
            for table in [&mut sums, &mut self.reported] {
                let total = table.entry(share).or_default();
                *total = total.plus(added);
            }
        }
        let usage = PeerUsage {
            process_number: report.process_number,
            sequence: report.sequence,
            received_ms: now_ms,
            is_pressed: report.is_pressed,
            sums,
        };
        self.peers.insert(peer.to_owned(), usage);
        true
    }

    pub(super) fn is_fresh(&self, peer: &PeerUsage, now_ms: TimeMs) -> bool {
        let expiry_ms = MIN_EXPIRY_MS.max(EXPIRY_REPORTS * self.report_interval_ms.get());
        now_ms.since(peer.received_ms).get() < expiry_ms
    }

    /// Removes the reports that are no longer used.
    pub(super) fn expire_peers(&mut self, now_ms: TimeMs) {
        let expired = self.peers.iter().filter(|(_, peer)| !self.is_fresh(peer, now_ms));
        let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
        expired.iter().for_each(|name| self.remove_peer(name));
    }

    fn remove_peer(&mut self, peer: &str) {
        let Some(usage) = self.peers.remove(peer) else { return };
        for (share, sum) in usage.sums {
            let Some(total) = self.reported.get_mut(&share) else { continue };
            *total = total.minus(sum);
            if *total == UsageSum::default() {
                self.reported.remove(&share);
            }
        }
    }
}
