//! Outgoing calls: encodes the request, sends it and decodes the reply.

use bilberryford_types::{Generation, ObjectVersion, TimeMs};

use crate::{
    ConfigReply, GrantReply, PeerError, PlacementQuery, PlacementReply, QuarantineSnapshot,
    SuspectReply,
    client::{CallKind, Reply},
    convert, peer_capnp,
};

pub(super) async fn call_peer(
    peer: &peer_capnp::peer::Client,
    kind: CallKind,
) -> Result<Reply, PeerError> {
    let reply = match kind {
        CallKind::Heartbeat(heartbeat) => {
            let mut request = peer.heartbeat_request();
            convert::write_heartbeat(&heartbeat, request.get().init_beat());
            let response = request.send().promise.await?;
            Reply::Heartbeat(Box::new(convert::read_heartbeat(response.get()?.get_beat()?)?))
        }
        CallKind::Configuration(above) => {
            let mut request = peer.configuration_request();
            request.get().set_above(above.get());
            let response = request.send().promise.await?;
            let results = response.get()?;
            let reply = ConfigReply {
                generation: Generation(results.get_generation()),
                version: ObjectVersion::from_wire(results.get_version()),
                body: results.get_body()?.to_vec(),
            };
            Reply::Configuration((reply.generation > above).then_some(reply))
        }
        CallKind::Endpoints => {
            let response = peer.endpoints_request().send().promise.await?;
            Reply::Endpoints(convert::read_endpoint_rows(response.get()?.get_rows()?)?)
        }
        CallKind::QuarantineSnapshot => {
            let response = peer.standings_request().send().promise.await?;
            let results = response.get()?;
            Reply::QuarantineSnapshot(QuarantineSnapshot {
                suspected: convert::read_digests(results.get_suspected()?)?,
                quarantined: convert::read_digests(results.get_quarantined()?)?,
            })
        }
        CallKind::Suspect(suspect) => {
            let mut request = peer.suspect_request();
            let mut params = request.get();
            params.set_fingerprint(&suspect.fingerprint.0);
            params.set_attempt(suspect.attempt.as_str());
            params.set_verdict(convert::write_verdict(suspect.action));
            params.set_span_ms(suspect.span.get());
            let response = request.send().promise.await?;
            let results = response.get()?;
            Reply::Suspect(SuspectReply {
                crashes: results.get_crashes(),
                quarantined: results.get_quarantined(),
                granted: results.get_granted(),
            })
        }
        CallKind::HandedOver(run) => {
            let mut request = peer.picked_up_request();
            request.get().set_run(run.as_str());
            request.send().promise.await?;
            Reply::HandedOver(())
        }
        CallKind::RequestSlots(grant_request) => {
            let mut request = peer.borrow_request();
            let mut params = request.get();
            params.set_team(grant_request.team.as_str());
            params.set_borrower(grant_request.requester.as_str());
            params.set_in_use(grant_request.in_use);
            params.set_want(grant_request.wanted);
            let response = request.send().promise.await?;
            let results = response.get()?;
            let valid_for = TimeMs(results.get_valid_ms().into());
            Reply::RequestSlots(GrantReply { granted: results.get_granted(), valid_for })
        }
        CallKind::RequestPlacement(query) => {
            let mut request = peer.place_request();
            write_placement_query(&query, request.get().init_request());
            let response = request.send().promise.await?;
            let decision = response.get()?.get_decision()?;
            Reply::RequestPlacement(read_decision(decision)?)
        }
    };
    Ok(reply)
}

fn write_placement_query(
    query: &PlacementQuery,
    mut builder: peer_capnp::place_request::Builder<'_>,
) {
    builder.set_model(query.model.as_str());
    builder.set_weight_version(query.weight_version.as_str());
    builder.set_priority(query.priority as u8);
    builder.set_prompt_tokens(query.prompt_tokens.get());
    builder.set_max_tokens(query.max_tokens.get());
    builder.set_deadline_ms(query.deadline.get());
    let mut chain = builder.reborrow().init_chain(query.chain.len() as u32);
    for (index, digest) in (0..).zip(&query.chain) {
        chain.set(index, &digest.0);
    }
    let mut excluded = builder.init_excluded(query.excluded.len() as u32);
    for (index, endpoint) in (0..).zip(&query.excluded) {
        excluded.set(index, endpoint.as_str());
    }
}

fn read_decision(
    reader: peer_capnp::place_decision::Reader<'_>,
) -> Result<Option<PlacementReply>, capnp::Error> {
    let endpoint = reader.get_endpoint()?;
    if endpoint.is_empty() {
        return Ok(None);
    }
    let store = reader.get_store()?;
    Ok(Some(PlacementReply {
        endpoint: convert::parse_text(endpoint)?,
        store: if store.is_empty() { None } else { Some(convert::parse_text(store)?) },
        import_blocks: reader.get_import_blocks(),
        reason: reader.get_reason()?.to_string().map_err(convert::invalid_message)?,
    }))
}
