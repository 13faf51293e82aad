//! Conversions between the message types and their capnp encoding.
//!
//! Everything that a peer sends is validated here. An invalid name or an oversized list fails the call before any part
//! of it reaches the handler.

use bilberryford_types::{Digest, Generation, HybridTime, Incarnation, TimeMs, Tokens};
use capnp::Error;

use crate::{EndpointRow, EndpointView, Heartbeat, Member, MemberState, SuspectAction, peer_capnp};

/// The maximum length of a list in a message, except for the list of endpoints.
const MAX_LIST_LENGTH: u32 = 4_096;
/// The maximum length of a list of digests.
pub(crate) const MAX_DIGESTS: usize = MAX_LIST_LENGTH as usize;
/// The maximum length of the list of endpoints.
pub(crate) const MAX_ENDPOINT_ROWS: usize = 16_384;

/// Returns the error of an invalid message. Its text is sent to the peer.
pub(crate) fn invalid_message(error: impl std::fmt::Display) -> Error {
    Error::failed(format!("bad message: {error}"))
}

pub(crate) fn parse_text<T>(reader: capnp::text::Reader<'_>) -> Result<T, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    reader.to_str().map_err(invalid_message)?.parse().map_err(invalid_message)
}

pub(crate) fn parse_digest(data: &[u8]) -> Result<Digest, Error> {
    data.try_into().map(Digest).map_err(invalid_message)
}

pub(crate) fn read_digests(reader: capnp::data_list::Reader<'_>) -> Result<Vec<Digest>, Error> {
    check_length(reader.len())?;
    reader.iter().map(|data| parse_digest(data?)).collect()
}

pub(crate) fn write_digests(digests: &[Digest], mut builder: capnp::data_list::Builder<'_>) {
    for (index, digest) in (0..).zip(digests) {
        builder.set(index, &digest.0);
    }
}

pub(crate) fn check_length(length: u32) -> Result<u32, Error> {
    if length > MAX_LIST_LENGTH { Err(invalid_message("the list is too long")) } else { Ok(length) }
}

fn read_member(reader: peer_capnp::member::Reader<'_>) -> Result<Member, Error> {
    Ok(Member {
        instance: parse_text(reader.get_instance()?)?,
        incarnation: Incarnation(reader.get_incarnation()),
        address: parse_text(reader.get_address()?)?,
        data_centre: parse_text(reader.get_data_centre()?)?,
        state: MemberState::from_repr(reader.get_state())
            .ok_or_else(|| invalid_message("unknown member state"))?,
        generation: Generation(reader.get_generation()),
        age: TimeMs(reader.get_age_ms().into()),
    })
}

fn write_member(member: &Member, mut builder: peer_capnp::member::Builder<'_>) {
    builder.set_instance(member.instance.as_str());
    builder.set_incarnation(member.incarnation.get());
    builder.set_address(member.address.to_string().as_str());
    builder.set_data_centre(member.data_centre.as_str());
    builder.set_state(member.state as u8);
    builder.set_generation(member.generation.get());
    builder.set_age_ms(u32::try_from(member.age.get()).unwrap_or(u32::MAX));
}

pub(crate) fn read_heartbeat(
    reader: peer_capnp::heartbeat::Reader<'_>,
) -> Result<Heartbeat, Error> {
    let at = reader.get_at()?;
    let members = reader.get_members()?;
    let endpoints = reader.get_endpoints()?;
    let quarantined = reader.get_quarantined()?;
    for length in [members.len(), endpoints.len(), quarantined.len()] {
        check_length(length)?;
    }
    Ok(Heartbeat {
        sent_at: HybridTime { wall_ms: at.get_wall_ms(), counter: at.get_counter() },
        environment: parse_text(reader.get_environment()?)?,
        sender: read_member(reader.get_sender()?)?,
        members: members.iter().map(read_member).collect::<Result<_, _>>()?,
        endpoints: endpoints.iter().map(read_endpoint_view).collect::<Result<_, _>>()?,
        quarantined: quarantined
            .iter()
            .map(|data| parse_digest(data?))
            .collect::<Result<_, _>>()?,
    })
}

fn read_endpoint_view(
    reader: peer_capnp::endpoint_view::Reader<'_>,
) -> Result<EndpointView, Error> {
    Ok(EndpointView {
        endpoint: parse_text(reader.get_endpoint()?)?,
        address: parse_text(reader.get_address()?)?,
        is_leaving: reader.get_leaving(),
        in_flight: reader.get_in_flight(),
        queued_tokens: Tokens(reader.get_queued_tokens()),
    })
}

pub(crate) fn write_heartbeat(
    heartbeat: &Heartbeat,
    mut builder: peer_capnp::heartbeat::Builder<'_>,
) {
    let mut at = builder.reborrow().init_at();
    at.set_wall_ms(heartbeat.sent_at.wall_ms);
    at.set_counter(heartbeat.sent_at.counter);
    builder.set_environment(heartbeat.environment.as_str());
    write_member(&heartbeat.sender, builder.reborrow().init_sender());
    let mut members = builder.reborrow().init_members(heartbeat.members.len() as u32);
    for (index, member) in (0..).zip(&heartbeat.members) {
        write_member(member, members.reborrow().get(index));
    }
    let mut endpoints = builder.reborrow().init_endpoints(heartbeat.endpoints.len() as u32);
    for (index, view) in (0..).zip(&heartbeat.endpoints) {
        let mut row = endpoints.reborrow().get(index);
        row.set_endpoint(view.endpoint.as_str());
        row.set_address(view.address.to_string().as_str());
        row.set_leaving(view.is_leaving);
        row.set_in_flight(view.in_flight);
        row.set_queued_tokens(view.queued_tokens.get());
    }
    let mut quarantined = builder.init_quarantined(heartbeat.quarantined.len() as u32);
    for (index, digest) in (0..).zip(&heartbeat.quarantined) {
        quarantined.set(index, &digest.0);
    }
}

pub(crate) const fn read_action(verdict: peer_capnp::Verdict) -> SuspectAction {
    match verdict {
        peer_capnp::Verdict::Ask => SuspectAction::Claim,
        peer_capnp::Verdict::Crashed => SuspectAction::MarkSuspect,
        peer_capnp::Verdict::Clean => SuspectAction::Clear,
        peer_capnp::Verdict::Convicted => SuspectAction::Quarantine,
        peer_capnp::Verdict::Released => SuspectAction::Release,
    }
}

pub(crate) const fn write_verdict(action: SuspectAction) -> peer_capnp::Verdict {
    match action {
        SuspectAction::Claim => peer_capnp::Verdict::Ask,
        SuspectAction::MarkSuspect => peer_capnp::Verdict::Crashed,
        SuspectAction::Clear => peer_capnp::Verdict::Clean,
        SuspectAction::Quarantine => peer_capnp::Verdict::Convicted,
        SuspectAction::Release => peer_capnp::Verdict::Released,
    }
}

pub(crate) fn read_endpoint_rows(
    rows: capnp::struct_list::Reader<'_, peer_capnp::endpoint_row::Owned>,
) -> Result<Vec<EndpointRow>, Error> {
    if rows.len() as usize > MAX_ENDPOINT_ROWS {
        return Err(invalid_message("the list is too long"));
    }
    rows.iter().map(read_endpoint_row).collect()
}

fn read_endpoint_row(reader: peer_capnp::endpoint_row::Reader<'_>) -> Result<EndpointRow, Error> {
    Ok(EndpointRow {
        endpoint: parse_text(reader.get_endpoint()?)?,
        role: parse_text(reader.get_role()?)?,
        pool: parse_text(reader.get_pool()?)?,
        address: parse_text(reader.get_address()?)?,
        data_centre: parse_text(reader.get_data_centre()?)?,
        is_leaving: reader.get_leaving(),
    })
}

pub(crate) fn write_endpoint_rows(
    rows: &[EndpointRow],
    mut builder: capnp::struct_list::Builder<'_, peer_capnp::endpoint_row::Owned>,
) {
    for (index, row) in (0..).zip(rows) {
        let mut row_builder = builder.reborrow().get(index);
        row_builder.set_endpoint(row.endpoint.as_str());
        row_builder.set_role(row.role.as_str());
        row_builder.set_pool(row.pool.as_str());
        row_builder.set_address(row.address.to_string().as_str());
        row_builder.set_data_centre(row.data_centre.as_str());
        row_builder.set_leaving(row.is_leaving);
    }
}
