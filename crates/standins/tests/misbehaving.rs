//! The HTTP clients of the entry instance before endpoints that misbehave.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bilberryford_endpoint::{
    ATTEMPT_HEADER, EngineControl, GenerateCall, HttpControl, HttpEngine, HttpService, ModelEngine,
    PlainService, ServiceCall,
};
use bilberryford_standins::misbehaving::{MisbehavingEndpoint, Misbehaviour, SoundResponse};
use bilberryford_types::{AttemptId, Priority, Ran, TimeMs, Tokens};
use futures::StreamExt;
use rstest::rstest;
use tokio::time::timeout;

const TIMEOUT_MS: TimeMs = TimeMs(2_000);
/// The most that an endpoint gets rid of for one call: the longest reply, and the kernel's buffers of a connection.
const MAX_SENT_BYTES: u64 = 24 * 1024 * 1024;

/// The longest time from a failed call to the end of its connection.
const CLOSING_TIME: Duration = Duration::from_secs(5);

fn attempt(number: usize) -> AttemptId {
    format!("a-{number}").parse().expect("an id")
}

fn clients() -> (reqwest::Client, reqwest::Client) {
    let unpooled = reqwest::Client::builder().pool_max_idle_per_host(0).build();
    (reqwest::Client::new(), unpooled.expect("a client"))
}

/// The attempt's id in the head of a request.
fn attempt_in(request: &str) -> String {
    let lines = request.lines().filter_map(|line| line.split_once(':'));
    let mut ids = lines.filter(|(name, _)| name.eq_ignore_ascii_case(ATTEMPT_HEADER));
    ids.next().map_or_else(String::new, |(_, id)| id.trim().to_owned())
}

fn service_call(number: usize) -> ServiceCall {
    ServiceCall {
        attempt: attempt(number),
        team: "red".parse().expect("a name"),
        method: "GET".to_owned(),
        path: "/stock/1".to_owned(),
        content_type: None,
        body: Default::default(),
        idempotent: true,
        order: None,
    }
}

/// A response whose body is the attempt's id, which is repeated in a header if `echoes`.
fn own_id(echoes: bool) -> SoundResponse {
    Arc::new(move |request| {
        let id = attempt_in(request);
        let echo = if echoes { format!("{ATTEMPT_HEADER}: {id}\r\n") } else { String::new() };
        format!("HTTP/1.1 200 OK\r\n{echo}Content-Length: {}\r\n\r\n{id}", id.len())
    })
}

#[rstest]
#[case::echoes(true)]
#[case::does_not_echo(false)]
#[tokio::test]
async fn a_late_second_copy_of_a_services_answer_is_nobodys(#[case] echoes: bool) {
    let endpoint = MisbehavingEndpoint::start(Misbehaviour::LateSecondCopy, own_id(echoes)).await;
    let endpoint = endpoint.expect("a port");
    let (pooled, unpooled) = clients();
    let service = HttpService::new(endpoint.address, pooled, unpooled);
    let mut served = 0;
    for number in 0..20 {
        if let Ok(reply) = service.call(service_call(number), TIMEOUT_MS).await {
            assert_eq!(reply.body, attempt(number).as_str().as_bytes(), "call {number}");
            served += 1;
        }
    }
    assert!(served >= 10, "only {served} calls were served");
}

fn generate_call(number: usize) -> GenerateCall {
    GenerateCall {
        model: "m".parse().expect("a name"),
        prompt: "hello".into(),
        max_tokens: Tokens(4),
        attempt: attempt(number),
        team: "red".parse().expect("a name"),
        weight_version: "v1".parse().expect("a version"),
        priority: Priority::Standard,
        skip_tokens: Tokens(0),
        skipped_text: "".into(),
    }
}

/// A refusal states that nothing ran. A late second copy of one must not say so of a run that has begun.
#[tokio::test]
async fn a_late_second_copy_of_a_refusal_does_not_state_that_a_run_did_not_run() {
    let calls = Arc::new(AtomicUsize::new(0));
    let sound: SoundResponse = Arc::new(move |request| {
        let id = attempt_in(request);
        match calls.fetch_add(1, Ordering::SeqCst) {
            0 => format!(
                "HTTP/1.1 503 Service Unavailable\r\n{ATTEMPT_HEADER}: {id}\r\nContent-Length: 0\r\n\r\n"
            ),
            _ => format!(
                "HTTP/1.1 200 OK\r\n{ATTEMPT_HEADER}: {id}\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
            ),
        }
    });
    let endpoint = MisbehavingEndpoint::start(Misbehaviour::LateSecondCopy, sound).await;
    let endpoint = endpoint.expect("a port");
    let (pooled, unpooled) = clients();
    let engine = HttpEngine::new(endpoint.address, pooled, unpooled);
    let mut outcomes = Vec::new();
    for number in 0..3 {
        let result = engine.generate(generate_call(number), TIMEOUT_MS).await.map(drop);
        outcomes.push(result.map_err(|error| error.ran()).err());
    }
    assert_eq!(outcomes[0], Some(Ran::No));
    // The later calls were started by the endpoint, whatever came back first.
    assert!(outcomes[1..].iter().all(|outcome| *outcome != Some(Ran::No)), "{outcomes:?}");
}

#[rstest]
#[tokio::test]
async fn an_answer_without_end_is_not_read_without_end(
    #[values(
        Misbehaviour::EndlessHead,
        Misbehaviour::EndlessHeaderLine,
        Misbehaviour::EndlessBody,
        Misbehaviour::EndlessUnframedBody,
        Misbehaviour::EndlessChunkExtension,
        Misbehaviour::EndlessTrailers,
        Misbehaviour::AbsurdChunk,
        Misbehaviour::NoHttp
    )]
    misbehaviour: Misbehaviour,
) {
    let endpoint = MisbehavingEndpoint::start(misbehaviour, own_id(true)).await.expect("a port");
    let (pooled, unpooled) = clients();
    // What the kernel still takes on the connection of a call that has failed belongs to that call.
    let sent = async || {
        let closing = async {
            while endpoint.counters.open_connections.load(Ordering::SeqCst) > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout(CLOSING_TIME, closing).await.expect("the connection of a failed call is closed");
        endpoint.counters.sent_bytes.swap(0, Ordering::SeqCst)
    };
    let service = HttpService::new(endpoint.address, pooled.clone(), unpooled.clone());
    let reply = service.call(service_call(1), TIMEOUT_MS).await;
    assert!(reply.is_err(), "{reply:?}");
    assert!(sent().await <= MAX_SENT_BYTES, "the reply of a service is read without end");
    let engine = HttpEngine::new(endpoint.address, pooled.clone(), unpooled.clone());
    let load = engine.load().await;
    assert!(load.is_err(), "{load:?}");
    assert!(sent().await <= MAX_SENT_BYTES, "a load report is read without end");
    if let Ok(mut chunks) = engine.generate(generate_call(2), TIMEOUT_MS).await {
        while chunks.next().await.is_some_and(|chunk| chunk.is_ok()) {}
    }
    assert!(sent().await <= MAX_SENT_BYTES, "an event of a stream is read without end");
    let control = HttpControl::new(endpoint.address, unpooled);
    let report = control.read_report(TIMEOUT_MS).await;
    assert!(report.is_err(), "{report:?}");
    assert!(sent().await <= MAX_SENT_BYTES, "a report on orders is read without end");
}
