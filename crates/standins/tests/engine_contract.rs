//! The contract of `ModelEngine`, held against the engine stand-in with its faults.

use std::{sync::Arc, time::Duration};

use bilberryford_endpoint::{
    Chunk, ChunkStream, EndpointError, GenerateCall, HttpEngine, ModelEngine,
};
use bilberryford_standins::{
    answer,
    engine::{CRASH_MARKER, Engine, EngineSpec, Faults},
    host::ServerHandle,
};
use bilberryford_types::{AttemptId, Priority, Ran, TimeMs, Tokens};
use futures::StreamExt;
use rstest::rstest;
use tokio::time::timeout;

const LIMIT: TimeMs = TimeMs(5_000);
/// Longer than any step takes that is not silent.
const SILENT: Duration = Duration::from_millis(500);

struct Setup {
    engine: Arc<Engine>,
    host: ServerHandle,
    http: HttpEngine,
}

fn start(faults: Faults) -> Setup {
    start_with_gap(faults, 1)
}

fn start_with_gap(faults: Faults, token_gap_ms: u64) -> Setup {
    let spec = EngineSpec {
        prefill_tokens_per_s: 0,
        token_gap_ms,
        ..EngineSpec::new("v1".parse().unwrap())
    };
    let engine = Engine::new(spec);
    engine.set_faults(faults);
    let host = engine.host(([127, 0, 0, 1], 0).into()).unwrap();
    let fresh = reqwest::Client::builder().pool_max_idle_per_host(0).build().unwrap();
    let http = HttpEngine::new(host.address, reqwest::Client::new(), fresh);
    Setup { engine, host, http }
}

fn call(prompt: &str, version: &str) -> GenerateCall {
    GenerateCall {
        attempt: attempt(),
        team: "linz".parse().unwrap(),
        model: "assistant".parse().unwrap(),
        weight_version: version.parse().unwrap(),
        prompt: prompt.into(),
        max_tokens: Tokens(10),
        skip_tokens: Tokens(0),
        given: "".into(),
        priority: Priority::Standard,
    }
}

fn attempt() -> AttemptId {
    "a-1".parse().unwrap()
}

/// What a stream carried until it went silent or ended; an end without the marker and an error are the same cut.
#[derive(Debug, Default, PartialEq)]
struct Carried {
    own: u32,
    others: u32,
    announced: Option<u32>,
    is_silent: bool,
}

async fn read(mut stream: ChunkStream) -> Carried {
    let mut carried = Carried::default();
    loop {
        match timeout(SILENT, stream.next()).await {
            Err(_) => {
                carried.is_silent = true;
                return carried;
            }
            Ok(None) => return carried,
            Ok(Some(Err(error))) => {
                assert!(matches!(error, EndpointError::Lost { .. }), "{error:?}");
                return carried;
            }
            Ok(Some(Ok(Chunk::End { tokens, .. }))) => carried.announced = Some(tokens.get()),
            Ok(Some(Ok(Chunk::Token { attempt: of, .. }))) if of != attempt() => {
                carried.others += 1;
            }
            Ok(Some(Ok(Chunk::Token { index, text, .. }))) => {
                assert_eq!(text, answer::token("hello", "v1", index));
                carried.own += 1;
            }
        }
    }
}

const WHOLE: Carried = Carried { own: 10, others: 0, announced: Some(10), is_silent: false };

#[rstest]
#[case::none(Faults::default(), WHOLE)]
#[case::slow(Faults { slow_ms: 5, ..Faults::default() }, WHOLE)]
#[case::silent(
    Faults { silent_after_tokens: 4, ..Faults::default() },
    Carried { own: 4, announced: None, is_silent: true, ..WHOLE }
)]
#[case::cut(
    Faults { cut_after_tokens: 4, ..Faults::default() },
    Carried { own: 4, announced: None, ..WHOLE }
)]
#[case::crossed(Faults { cross_chunks: true, ..Faults::default() }, Carried { others: 10, ..WHOLE })]
#[case::doubled(Faults { duplicate_chunks: true, ..Faults::default() }, Carried { own: 20, ..WHOLE })]
#[case::no_end(Faults { no_end: 1, ..Faults::default() }, Carried { announced: None, ..WHOLE })]
#[case::wrong_count(
    Faults { wrong_count: 1, ..Faults::default() },
    Carried { announced: Some(11), ..WHOLE }
)]
#[tokio::test]
async fn a_stream_carries_what_its_fault_leaves_and_is_whole_when_resumed(
    #[case] faults: Faults,
    #[case] expected: Carried,
) {
    let setup = start(faults);
    let stream = setup.http.generate(call("hello", "v1"), LIMIT).await.unwrap();
    assert_eq!(read(stream).await, expected);
    setup.engine.set_faults(Faults::default());
    let stream = setup.http.resume(&attempt(), 4, LIMIT).await.unwrap();
    assert_eq!(read(stream).await, Carried { own: 6, ..WHOLE });
    assert_eq!(setup.engine.stats().started, 1);
}

#[rstest]
#[case::refusing(Faults { refuse: true, ..Faults::default() }, "v1", Ran::No)]
#[case::version_gone(Faults::default(), "v2", Ran::No)]
#[tokio::test]
async fn a_refusal_before_the_run_is_known_as_not_run(
    #[case] faults: Faults,
    #[case] version: &str,
    #[case] ran: Ran,
) {
    let setup = start(faults);
    let error = setup.http.generate(call("hello", version), LIMIT).await.err().unwrap();
    assert_eq!(error.ran(), ran, "{error:?}");
    assert_eq!(setup.engine.stats().started, 0);
}

#[tokio::test]
async fn an_engine_that_is_down_is_known_as_not_reached() {
    let setup = start(Faults::default());
    setup.host.set_down(true);
    let error = loop {
        match setup.http.generate(call("hello", "v1"), LIMIT).await {
            Err(error @ EndpointError::Connect { .. }) => break error,
            _ => tokio::task::yield_now().await,
        }
    };
    setup.host.set_down(false);
    assert_eq!(error.ran(), Ran::No);
}

#[tokio::test]
async fn a_crash_loses_the_whole_batch_and_the_runs_are_forgotten() {
    // The run must still be under way when the crash comes, however busy the machine is.
    let setup = start_with_gap(Faults::default(), 1_000);
    let beside = setup.http.generate(call("hello", "v1"), LIMIT).await.unwrap();
    let poison = GenerateCall { attempt: "a-2".parse().unwrap(), ..call(CRASH_MARKER, "v1") };
    let _ = setup.http.generate(poison, LIMIT).await;
    let carried = read(beside).await;
    assert!(carried.announced.is_none() && !carried.is_silent, "{carried:?}");
    let gone = loop {
        match setup.http.resume(&attempt(), 0, LIMIT).await {
            Err(EndpointError::UnknownAttempt) => break true,
            Ok(_) => break false,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    assert!(gone);
}

#[tokio::test]
async fn a_cancelled_run_is_forgotten() {
    let setup = start(Faults { slow_ms: 50, ..Faults::default() });
    let stream = setup.http.generate(call("hello", "v1"), LIMIT).await.unwrap();
    setup.http.cancel(&attempt()).await.unwrap();
    drop(stream);
    let resumed = setup.http.resume(&attempt(), 0, LIMIT).await;
    assert!(matches!(resumed, Err(EndpointError::UnknownAttempt)));
    assert_eq!(setup.engine.stats().cancelled, 1);
}
