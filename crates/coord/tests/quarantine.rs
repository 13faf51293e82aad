//! Quarantine table: suspects, claims, clearances and their expiry.

use bilberryford_coord::{ClaimReply, Quarantine, QuarantineSource, QuarantineState};
use bilberryford_types::{Digest, TimeMs};
use proptest::prelude::*;
use rstest::rstest;

const KEY: Digest = Digest([7; 32]);
const SPAN: TimeMs = TimeMs(1_000);

#[derive(Debug, Clone, Copy)]
enum Step {
    Claim(&'static str),
    Suspect,
    Quarantine,
    Release(&'static str),
    Clear(&'static str),
    Wait(u64),
}
use Step::{Claim, Clear, Release, Suspect, Wait};

fn table_after(steps: &[Step]) -> (Quarantine, TimeMs) {
    let mut table = Quarantine::default();
    let mut now = TimeMs(1);
    for step in steps {
        match step {
            Claim(attempt) => _ = table.claim(KEY, attempt, SPAN, now),
            Suspect => _ = table.mark_suspect(KEY, now),
            Step::Quarantine => {
                _ = table.quarantine(KEY, TimeMs(u64::MAX), QuarantineSource::Local, now)
            }
            Release(attempt) => table.release(&KEY, attempt),
            Clear(attempt) => table.clear(KEY, attempt, now),
            Wait(span_ms) => now = now.after(TimeMs(*span_ms)),
        }
    }
    (table, now)
}

#[rstest]
#[case::unknown(&[], QuarantineState::Clear, ClaimReply::Granted)]
#[case::one_crash(&[Suspect], QuarantineState::Suspect, ClaimReply::Granted)]
#[case::several_crashes(&[Suspect, Suspect, Suspect], QuarantineState::Suspect, ClaimReply::Granted)]
#[case::claimed(&[Suspect, Claim("a")], QuarantineState::Suspect, ClaimReply::Busy)]
#[case::claim_expired(&[Suspect, Claim("a"), Wait(1_000)], QuarantineState::Suspect, ClaimReply::Granted)]
#[case::released(&[Suspect, Claim("a"), Release("a")], QuarantineState::Suspect, ClaimReply::Granted)]
#[case::released_by_another(&[Suspect, Claim("a"), Release("b")], QuarantineState::Suspect, ClaimReply::Busy)]
#[case::cleared(&[Suspect, Claim("a"), Clear("a")], QuarantineState::Clear, ClaimReply::Cleared)]
#[case::suspected_again(&[Suspect, Claim("a"), Clear("a"), Suspect], QuarantineState::Suspect, ClaimReply::Granted)]
#[case::cleared_earlier(&[Suspect, Claim("a"), Clear("a"), Wait(600_000)], QuarantineState::Clear, ClaimReply::Granted)]
#[case::cleared_by_another(&[Suspect, Claim("a"), Clear("b")], QuarantineState::Suspect, ClaimReply::Busy)]
#[case::quarantined(&[Suspect, Claim("a"), Step::Quarantine], QuarantineState::Quarantined, ClaimReply::Quarantined)]
#[case::cleared_afterwards(&[Step::Quarantine, Clear("a")], QuarantineState::Quarantined, ClaimReply::Quarantined)]
#[case::suspected_afterwards(&[Step::Quarantine, Suspect], QuarantineState::Quarantined, ClaimReply::Quarantined)]
#[case::quarantine_expired(&[Step::Quarantine, Wait(86_400_000)], QuarantineState::Clear, ClaimReply::Granted)]
#[case::suspicion_expired(&[Suspect, Wait(600_000)], QuarantineState::Clear, ClaimReply::Granted)]
fn state_and_claim_follow_from_the_history(
    #[case] steps: &[Step],
    #[case] state: QuarantineState,
    #[case] claim: ClaimReply,
) {
    let (mut table, now) = table_after(steps);
    assert_eq!(table.state(&KEY, now), state);
    assert_eq!(table.claim(KEY, "z", SPAN, now), claim);
}

#[rstest]
#[case::unknown(&[], QuarantineState::Suspect)]
#[case::suspicion_expired(&[Suspect, Wait(600_000)], QuarantineState::Suspect)]
#[case::claimed_without_suspicion(&[Claim("a")], QuarantineState::Suspect)]
#[case::cleared(&[Suspect, Claim("a"), Clear("a")], QuarantineState::Clear)]
#[case::cleared_earlier(&[Suspect, Claim("a"), Clear("a"), Wait(600_000)], QuarantineState::Suspect)]
#[case::quarantined(&[Step::Quarantine], QuarantineState::Quarantined)]
fn a_suspicion_of_a_peer_applies_unless_a_state_is_known(
    #[case] steps: &[Step],
    #[case] state: QuarantineState,
) {
    let (mut table, now) = table_after(steps);
    table.apply_peer_suspicion(KEY, now);
    assert_eq!(table.state(&KEY, now), state);
    let suspected = table.keys_in_state(QuarantineState::Suspect, 2, now);
    assert_eq!(suspected, Vec::from_iter((state == QuarantineState::Suspect).then_some(KEY)));
}

fn step() -> impl Strategy<Value = (u8, u8, u8, u64)> {
    (0_u8..5, 0_u8..4, 0_u8..3, 0_u64..700)
}

proptest! {
    #[test]
    fn a_key_has_at_most_one_claim_and_none_in_quarantine(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut table = Quarantine::default();
        let mut now = TimeMs(0);
        let mut holders: std::collections::HashMap<u8, (u8, TimeMs)> = Default::default();
        let mut quarantined = std::collections::HashSet::new();
        for (action, key, attempt, gap_ms) in steps {
            now = now.after(TimeMs(gap_ms));
            let digest = Digest([key; 32]);
            let name = attempt.to_string();
            match action {
                0 => {
                    let reply = table.claim(digest, &name, SPAN, now);
                    let other = holders.get(&key).filter(|(holder, until)| *holder != attempt && *until > now);
                    prop_assert_eq!(reply == ClaimReply::Quarantined, quarantined.contains(&key));
                    prop_assert!(reply != ClaimReply::Granted || other.is_none());
                    if reply == ClaimReply::Granted {
                        holders.insert(key, (attempt, now.after(SPAN)));
                    }
                }
                1 => _ = table.mark_suspect(digest, now),
                2 => {
                    table.release(&digest, &name);
                    holders.retain(|other, (holder, _)| *other != key || *holder != attempt);
                }
                3 => {
                    table.clear(digest, &name, now);
                    holders.retain(|other, (holder, _)| *other != key || *holder != attempt);
                }
                _ if attempt == 0 => {
                    table.quarantine(digest, TimeMs(u64::MAX), QuarantineSource::Local, now);
                    quarantined.insert(key);
                }
                _ => {}
            }
        }
    }
}

#[test]
fn the_table_is_bounded_and_evicts_quarantined_keys_last() {
    let mut table = Quarantine::default();
    table.quarantine(KEY, TimeMs(u64::MAX), QuarantineSource::Local, TimeMs(0));
    let key = |number: u32| {
        let mut bytes = [0; 32];
        bytes[..4].copy_from_slice(&number.to_le_bytes());
        Digest(bytes)
    };
    for number in 0..16_500 {
        table.mark_suspect(key(number), TimeMs(1));
    }
    assert_eq!(table.keys_to_announce(10, TimeMs(1)), vec![KEY]);
    table.quarantine(key(16_500), TimeMs(u64::MAX), QuarantineSource::Remote, TimeMs(1));
    assert_eq!(
        table.keys_to_announce(10, TimeMs(1)),
        vec![KEY],
        "a quarantine learned from a peer is not announced"
    );
    assert_eq!(
        table.state(&key(0), TimeMs(1)),
        QuarantineState::Clear,
        "the oldest suspect is evicted"
    );
    assert_eq!(table.state(&key(16_499), TimeMs(1)), QuarantineState::Suspect);
}
