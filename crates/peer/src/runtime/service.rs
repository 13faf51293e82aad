//! Incoming calls: decodes the request, calls the handler and encodes the reply.

use std::{rc::Rc, sync::Arc};

use bilberryford_types::{Digest, Generation, Priority, TimeMs, Tokens};

use crate::{GrantRequest, PeerHandler, PlacementQuery, SuspectMessage, convert, peer_capnp};

/// The server side of a connection.
pub(super) struct Service {
    pub(super) handler: Arc<dyn PeerHandler>,
}

impl peer_capnp::peer::Server for Service {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer_capnp::peer::HeartbeatParams,
        mut results: peer_capnp::peer::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let heartbeat = convert::read_heartbeat(params.get()?.get_beat()?)?;
        let reply = self.handler.heartbeat(heartbeat);
        convert::write_heartbeat(&reply, results.get().init_beat());
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer_capnp::peer::ConfigurationParams,
        mut results: peer_capnp::peer::ConfigurationResults,
    ) -> Result<(), capnp::Error> {
        let above = Generation(params.get()?.get_above());
        if let Some(reply) = self.handler.configuration(above) {
            let mut builder = results.get();
            builder.set_generation(reply.generation.get());
            builder.set_version(reply.version.to_wire());
            builder.set_body(&reply.body);
        }
        Ok(())
    }

    async fn endpoints(
        self: Rc<Self>,
        _: peer_capnp::peer::EndpointsParams,
        mut results: peer_capnp::peer::EndpointsResults,
    ) -> Result<(), capnp::Error> {
        let rows = self.handler.endpoints();
        let rows = &rows[..rows.len().min(convert::MAX_ENDPOINT_ROWS)];
        convert::write_endpoint_rows(rows, results.get().init_rows(rows.len() as u32));
        Ok(())
    }

    async fn standings(
        self: Rc<Self>,
        _: peer_capnp::peer::StandingsParams,
        mut results: peer_capnp::peer::StandingsResults,
    ) -> Result<(), capnp::Error> {
        let snapshot = self.handler.quarantine_snapshot();
        let max_len = |digests: &[Digest]| digests.len().min(convert::MAX_DIGESTS);
        let suspected = &snapshot.suspected[..max_len(&snapshot.suspected)];
        let quarantined = &snapshot.quarantined[..max_len(&snapshot.quarantined)];
        let mut builder = results.get();
        let list = builder.reborrow().init_suspected(suspected.len() as u32);
        convert::write_digests(suspected, list);
        let list = builder.init_quarantined(quarantined.len() as u32);
        convert::write_digests(quarantined, list);
        Ok(())
    }

    async fn suspect(
        self: Rc<Self>,
        params: peer_capnp::peer::SuspectParams,
        mut results: peer_capnp::peer::SuspectResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.handler.apply_suspect(SuspectMessage {
            fingerprint: convert::parse_digest(params.get_fingerprint()?)?,
            attempt: params.get_attempt()?.to_string().map_err(convert::invalid_message)?,
            action: convert::read_action(params.get_verdict()?),
            span: TimeMs(params.get_span_ms()),
        });
        let mut builder = results.get();
        builder.set_crashes(reply.crashes);
        builder.set_quarantined(reply.quarantined);
        builder.set_granted(reply.granted);
        Ok(())
    }

    async fn picked_up(
        self: Rc<Self>,
        params: peer_capnp::peer::PickedUpParams,
        _results: peer_capnp::peer::PickedUpResults,
    ) -> Result<(), capnp::Error> {
        self.handler.mark_handed_over(convert::parse_text(params.get()?.get_run()?)?);
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: peer_capnp::peer::BorrowParams,
        mut results: peer_capnp::peer::BorrowResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.handler.grant_slots(GrantRequest {
            team: convert::parse_text(params.get_team()?)?,
            requester: convert::parse_text(params.get_borrower()?)?,
            in_use: params.get_in_use(),
            wanted: params.get_want(),
        });
        let mut builder = results.get();
        builder.set_granted(reply.granted);
        builder.set_valid_ms(u32::try_from(reply.valid_for.get()).unwrap_or(u32::MAX));
        Ok(())
    }

    async fn place(
        self: Rc<Self>,
        params: peer_capnp::peer::PlaceParams,
        mut results: peer_capnp::peer::PlaceResults,
    ) -> Result<(), capnp::Error> {
        let request = read_placement_query(params.get()?.get_request()?)?;
        if let Some(reply) = self.handler.decide_placement(request) {
            let mut builder = results.get().init_decision();
            builder.set_endpoint(reply.endpoint.as_str());
            builder.set_store(reply.store.as_ref().map_or("", |store| store.as_str()));
            builder.set_import_blocks(reply.import_blocks);
            builder.set_reason(reply.reason.as_str());
        }
        Ok(())
    }
}

fn read_placement_query(
    reader: peer_capnp::place_request::Reader<'_>,
) -> Result<PlacementQuery, capnp::Error> {
    let chain = reader.get_chain()?;
    let excluded = reader.get_excluded()?;
    convert::check_length(chain.len())?;
    convert::check_length(excluded.len())?;
    let priority = match reader.get_priority() {
        0 => Priority::Batch,
        1 => Priority::Standard,
        2 => Priority::Interactive,
        _ => return Err(convert::invalid_message("unknown priority")),
    };
    Ok(PlacementQuery {
        model: convert::parse_text(reader.get_model()?)?,
        weight_version: convert::parse_text(reader.get_weight_version()?)?,
        priority,
        prompt_tokens: Tokens(reader.get_prompt_tokens()),
        max_tokens: Tokens(reader.get_max_tokens()),
        deadline: TimeMs(reader.get_deadline_ms()),
        chain: chain.iter().map(|data| convert::parse_digest(data?)).collect::<Result<_, _>>()?,
        excluded: excluded
            .iter()
            .map(|name| convert::parse_text(name?))
            .collect::<Result<_, _>>()?,
    })
}
