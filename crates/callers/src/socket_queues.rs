//! The queues of a connection's socket, as the kernel reports them through its socket diagnostics.

use std::{
    io::{self, Read},
    mem::size_of,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use socket2::{Domain, Protocol, Socket, Type};

// Constants of the kernel's interface, by their names there: AF_NETLINK, NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST,
// AF_INET, AF_INET6 and IPPROTO_TCP.
const NETLINK: i32 = 16;
const SOCKET_DIAGNOSTICS: i32 = 4;
const BY_FAMILY: u16 = 20;
const REQUEST: u16 = 1;
const IPV4: u8 = 2;
const IPV6: u8 = 10;
const TCP: u8 = 6;

/// The bytes of a message's header, and of the socket's identity in it.
const HEADER_BYTES: usize = 16;
const IDENTITY_BYTES: usize = 48;
/// The place of the queues in an answer: behind the header, four states and the identity, the expiry.
const QUEUES_AT: usize = HEADER_BYTES + 4 + IDENTITY_BYTES + 4;
/// The places of the timer that runs, and of the number of its attempts without an answer.
const TIMER_AT: usize = HEADER_BYTES + 2;
const ATTEMPTS_AT: usize = HEADER_BYTES + 3;
/// The timer of probes while the peer's window is closed.
const PROBE_TIMER: u8 = 4;
/// A probe that was just sent has no answer yet.
const MAX_UNANSWERED_PROBES: u8 = 1;
/// The bytes of an address in an identity.
const ADDRESS_BYTES: usize = 16;
/// The kernel answers at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// The bytes in the queues of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SocketQueues {
    /// Received and not read.
    pub(crate) unread_bytes: u64,
    /// Written and not acknowledged by the peer. The end of the stream counts as one.
    pub(crate) unacknowledged_bytes: u64,
    /// True while the peer's window is closed and its kernel answers probes: the peer is there, and has not read.
    pub(crate) is_window_closed: bool,
}

/// Asks the kernel for the queues of a connection.
///
/// # Errors
///
/// The operating system's error, for example if the connection has been reset, or the kernel has no diagnostics.
pub(crate) fn socket_queues(local: SocketAddr, peer: SocketAddr) -> io::Result<SocketQueues> {
    let mut socket =
        Socket::new(Domain::from(NETLINK), Type::DGRAM, Some(Protocol::from(SOCKET_DIAGNOSTICS)))?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    socket.send(&question(local, peer))?;
    let mut answer = [0; 1024];
    let bytes = socket.read(&mut answer)?;
    read_answer(&answer[..bytes]).ok_or_else(|| io::ErrorKind::NotFound.into())
}

fn question(local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let (local, peer) = (canonical(local), canonical(peer));
    let family = if local.is_ipv4() { IPV4 } else { IPV6 };
    let mut question = Vec::with_capacity(HEADER_BYTES + 8 + IDENTITY_BYTES);
    let length = (HEADER_BYTES + 8 + IDENTITY_BYTES) as u32;
    question.extend(length.to_ne_bytes());
    question.extend(BY_FAMILY.to_ne_bytes());
    question.extend(REQUEST.to_ne_bytes());
    question.extend([0; 2 * size_of::<u32>()]);
    // No extensions, and any state.
    question.extend([family, TCP, 0, 0]);
    question.extend(u32::MAX.to_ne_bytes());
    question.extend(local.port().to_be_bytes());
    question.extend(peer.port().to_be_bytes());
    question.extend(address_bytes(local.ip()));
    question.extend(address_bytes(peer.ip()));
    // Any interface, and no cookie.
    question.extend(0_u32.to_ne_bytes());
    question.extend([u8::MAX; 2 * size_of::<u32>()]);
    question
}

/// An address without its mapping into the other family, under which the kernel does not find a connection.
fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

fn address_bytes(address: IpAddr) -> [u8; ADDRESS_BYTES] {
    let mut bytes = [0; ADDRESS_BYTES];
    match address {
        IpAddr::V4(address) => bytes[..4].copy_from_slice(&address.octets()),
        IpAddr::V6(address) => bytes = address.octets(),
    }
    bytes
}

fn read_answer(answer: &[u8]) -> Option<SocketQueues> {
    let kind = u16::from_ne_bytes(answer.get(4..6)?.try_into().ok()?);
    let word = |at: usize| {
        let bytes = answer.get(at..at + size_of::<u32>())?;
        Some(u64::from(u32::from_ne_bytes(bytes.try_into().ok()?)))
    };
    (kind == BY_FAMILY).then_some(())?;
    Some(SocketQueues {
        unread_bytes: word(QUEUES_AT)?,
        unacknowledged_bytes: word(QUEUES_AT + size_of::<u32>())?,
        is_window_closed: *answer.get(TIMER_AT)? == PROBE_TIMER
            && *answer.get(ATTEMPTS_AT)? <= MAX_UNANSWERED_PROBES,
    })
}
