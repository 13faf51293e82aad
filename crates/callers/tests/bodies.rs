//! The room that the bodies of all requests of an instance share.

use std::sync::Arc;

use bilberryford_callers::{BodyRoom, ByteBudget, ReadBodyError, read_body};
use bilberryford_types::Bytes;
use http_body_util::Full;
use rstest::rstest;

const MIB: u64 = 1024 * 1024;
/// Memory with room for 8 MiB of bodies, 4 MiB of which may be of large ones.
const MEMORY: Bytes = Bytes(32 * MIB);

fn room_of(memory: Bytes) -> Arc<BodyRoom> {
    BodyRoom::new(memory, ByteBudget::of_memory(memory))
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let room = room_of(MEMORY);
    let large: Vec<_> = (0..8).map_while(|_| room.reserve(MIB)).collect();
    assert_eq!(large.len(), 4);
    let small: Vec<_> = (0..1_000).map_while(|_| room.reserve(64 * 1024)).collect();
    assert_eq!(small.len(), 64);
    assert_eq!(room.held_bytes(), 8 * MIB);
    drop(large);
    assert!(room.reserve(MIB).is_some());
    drop(small);
    assert_eq!(room.held_bytes(), 0);
}

#[test]
fn a_body_that_is_alone_always_finds_room() {
    let room = room_of(Bytes(MIB));
    let only = room.reserve(4 * MIB).expect("room for the only body");
    assert!(room.reserve(1).is_none());
    drop(only);
    assert!(room.reserve(1).is_some());
}

#[rstest]
#[case::fits(100, true)]
#[case::too_long(101, false)]
#[tokio::test]
async fn a_body_is_read_up_to_its_limit(#[case] max_read: u64, #[case] is_read: bool) {
    let room = room_of(MEMORY);
    let body = Full::new(bytes::Bytes::from(vec![7; max_read as usize]));
    let read = read_body(&room, body, 100).await;
    assert_eq!(read.as_ref().is_ok_and(|(body, _)| body.len() as u64 == max_read), is_read);
    assert!(is_read || matches!(read, Err(ReadBodyError::TooLong { max_bytes: 100 })));
    drop(read);
    assert_eq!(room.held_bytes(), 0);
}

#[tokio::test]
async fn a_body_without_room_is_refused_before_it_is_read() {
    let room = room_of(MEMORY);
    let _held: Vec<_> = (0..4).map_while(|_| room.reserve(MIB)).collect();
    let body = Full::new(bytes::Bytes::from(vec![7; MIB as usize]));
    let read = read_body(&room, body, 4 * MIB).await;
    assert!(matches!(read, Err(ReadBodyError::NoRoom { bytes }) if bytes == MIB));
}
