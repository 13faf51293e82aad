//! Contract of `ModelEngine`, checked against the engine stand-in with and without faults.

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

const CALL_TIMEOUT: TimeMs = TimeMs(5_000);
/// Longer than any gap between two chunks of a stream that has not stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

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
    let unpooled = reqwest::Client::builder().pool_max_idle_per_host(0).build().unwrap();
    let http = HttpEngine::new(host.address, reqwest::Client::new(), unpooled);
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
        skipped_text: "".into(),
        priority: Priority::Standard,
    }
}

fn attempt() -> AttemptId {
    "a-1".parse().unwrap()
}

/// The content of a stream up to its end or stall. An end without an end marker and an error count as the same cut.
#[derive(Debug, Default, PartialEq)]
struct StreamContent {
    own_tokens: u32,
    foreign_tokens: u32,
    announced_tokens: Option<u32>,
    has_stalled: bool,
}

async fn read(mut stream: ChunkStream) -> StreamContent {
    let mut content = StreamContent::default();
    loop {
        match timeout(STALL_TIMEOUT, stream.next()).await {
            Err(_) => {
                content.has_stalled = true;
                return content;
            }
            Ok(None) => return content,
            Ok(Some(Err(error))) => {
                assert!(matches!(error, EndpointError::ResponseLost { .. }), "{error:?}");
                return content;
            }
            Ok(Some(Ok(Chunk::End { tokens, .. }))) => {
                content.announced_tokens = Some(tokens.get())
            }
            Ok(Some(Ok(Chunk::Token { attempt: of, .. }))) if of != attempt() => {
                content.foreign_tokens += 1;
            }
            Ok(Some(Ok(Chunk::Token { index, text, .. }))) => {
                assert_eq!(text, answer::token("hello", "v1", index));
                content.own_tokens += 1;
            }
        }
    }
}

const COMPLETE: StreamContent = StreamContent {
    own_tokens: 10,
    foreign_tokens: 0,
    announced_tokens: Some(10),
    has_stalled: false,
};

#[rstest]
#[case::none(Faults::default(), COMPLETE)]
#[case::slow(Faults { slow_ms: 5, ..Faults::default() }, COMPLETE)]
#[case::silent(
    Faults { silent_after_tokens: 4, ..Faults::default() },
    StreamContent { own_tokens: 4, announced_tokens: None, has_stalled: true, ..COMPLETE }
)]
#[case::cut(
    Faults { cut_after_tokens: 4, ..Faults::default() },
    StreamContent { own_tokens: 4, announced_tokens: None, ..COMPLETE }
)]
#[case::crossed(Faults { cross_chunks: true, ..Faults::default() }, StreamContent { foreign_tokens: 10, ..COMPLETE })]
#[case::doubled(Faults { duplicate_chunks: true, ..Faults::default() }, StreamContent { own_tokens: 20, ..COMPLETE })]
#[case::no_end(Faults { no_end: 1, ..Faults::default() }, StreamContent { announced_tokens: None, ..COMPLETE })]
#[case::wrong_count(
    Faults { wrong_count: 1, ..Faults::default() },
    StreamContent { announced_tokens: Some(11), ..COMPLETE }
)]
#[tokio::test]
async fn a_stream_shows_its_fault_and_is_complete_when_resumed(
    #[case] faults: Faults,
    #[case] expected: StreamContent,
) {
    let setup = start(faults);
    let stream = setup.http.generate(call("hello", "v1"), CALL_TIMEOUT).await.unwrap();
    assert_eq!(read(stream).await, expected);
    setup.engine.set_faults(Faults::default());
    let stream = setup.http.resume(&attempt(), 4, CALL_TIMEOUT).await.unwrap();
    assert_eq!(read(stream).await, StreamContent { own_tokens: 6, ..COMPLETE });
    assert_eq!(setup.engine.stats().started, 1);
}

#[rstest]
#[case::refusing(Faults { refuse: true, ..Faults::default() }, "v1", Ran::No)]
#[case::version_gone(Faults::default(), "v2", Ran::No)]
#[tokio::test]
async fn a_refusal_before_the_start_is_reported_as_not_run(
    #[case] faults: Faults,
    #[case] version: &str,
    #[case] ran: Ran,
) {
    let setup = start(faults);
    let error = setup.http.generate(call("hello", version), CALL_TIMEOUT).await.err().unwrap();
    assert_eq!(error.ran(), ran, "{error:?}");
    assert_eq!(setup.engine.stats().started, 0);
}

#[tokio::test]
async fn an_engine_that_is_down_is_reported_as_not_reached() {
    let setup = start(Faults::default());
    setup.host.set_down(true);
    let error = loop {
        match setup.http.generate(call("hello", "v1"), CALL_TIMEOUT).await {
            Err(error @ EndpointError::Connect { .. }) => break error,
            _ => tokio::task::yield_now().await,
        }
    };
    setup.host.set_down(false);
    assert_eq!(error.ran(), Ran::No);
}

#[tokio::test]
async fn a_crash_ends_all_runs_and_forgets_their_attempts() {
    // A long gap between tokens keeps the run in progress until the crash, however busy the machine is.
    let setup = start_with_gap(Faults::default(), 1_000);
    let neighbour = setup.http.generate(call("hello", "v1"), CALL_TIMEOUT).await.unwrap();
    let poison = GenerateCall { attempt: "a-2".parse().unwrap(), ..call(CRASH_MARKER, "v1") };
    let _ = setup.http.generate(poison, CALL_TIMEOUT).await;
    let content = read(neighbour).await;
    assert!(content.announced_tokens.is_none() && !content.has_stalled, "{content:?}");
    let is_forgotten = loop {
        match setup.http.resume(&attempt(), 0, CALL_TIMEOUT).await {
            Err(EndpointError::UnknownAttempt) => break true,
            Ok(_) => break false,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    assert!(is_forgotten);
}

#[tokio::test]
async fn a_cancelled_run_cannot_be_resumed() {
    let setup = start(Faults { slow_ms: 50, ..Faults::default() });
    let stream = setup.http.generate(call("hello", "v1"), CALL_TIMEOUT).await.unwrap();
    setup.http.cancel(&attempt()).await.unwrap();
    drop(stream);
    let resumed = setup.http.resume(&attempt(), 0, CALL_TIMEOUT).await;
    assert!(matches!(resumed, Err(EndpointError::UnknownAttempt)));
    assert_eq!(setup.engine.stats().cancelled, 1);
}
