//! Engines and services that stop anywhere in a response: callers of `serve` get a whole response, a refusal, or a stream without
//! its end marker, and no text of another response.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bilberryford_standins::{load::Outcome, misbehaving::read_request};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::support::{Deployment, KEY, eventually, fast_engine, loopback};

/// What the proxy does with the responses to the requests that run or resume something, in their order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Pass,
    Cut(Cut),
    Replace(&'static str),
}

/// Where a response stops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    BeforeHead,
    InStatusLine,
    BeforeBlankLine,
    InBlankLine,
    AfterHead,
    InChunkSize,
    AfterEvent,
    InsideEvent,
    InsideChunk,
}

impl Cut {
    /// The number of bytes of a chunked response that are sent.
    fn position(self, response: &[u8]) -> usize {
        let find = |from: usize, text: &[u8]| {
            let at = response[from..].windows(text.len()).position(|window| window == text);
            at.map_or(response.len(), |at| from + at + text.len())
        };
        let head = find(0, b"\r\n\r\n");
        let first_event = find(head, b"\n\n");
        match self {
            Self::BeforeHead => 0,
            Self::InStatusLine => 12,
            Self::BeforeBlankLine => head - 2,
            Self::InBlankLine => head - 1,
            Self::AfterHead => head,
            Self::InChunkSize => head + 1,
            Self::AfterEvent => first_event,
            Self::InsideEvent => find(first_event, b"data: ") + 3,
            Self::InsideChunk => find(head, b"data: ") + 3,
        }
        .min(response.len())
    }
}

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 12\r\nConnection: close\r\n\r\nforeign-text";
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 12\r\nConnection: close\r\n\r\nforeign-text";
const DRAINING: &str = "HTTP/1.1 503 Service Unavailable\r\nendpoint-state: draining\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const OTHER_EVENT: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 20\r\nConnection: close\r\n\r\ndata: foreign-text\n\n";
const NO_HTTP: &str = "foreign-text\r\n\r\nforeign-text";

/// Stands before an endpoint and cuts or replaces its responses.
struct CuttingProxy {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for CuttingProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CuttingProxy {
    /// The steps are shared by all proxies with the same counter; after the last one, responses pass.
    async fn start(
        endpoint: SocketAddr,
        steps: Arc<[Step]>,
        next_step: Arc<AtomicUsize>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = requests.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (steps, next_step) = (steps.clone(), next_step.clone());
                counter.fetch_add(1, Ordering::SeqCst);
                // An error is the end of a connection by one of its sides.
                connections.spawn(async move {
                    let _ = forward(stream, endpoint, &steps, &next_step).await;
                });
            }
        });
        Ok(Self { address, requests, task })
    }
}

/// Forwards one request and its response, and closes the connection.
async fn forward(
    mut caller: TcpStream,
    endpoint: SocketAddr,
    steps: &[Step],
    next_step: &AtomicUsize,
) -> io::Result<()> {
    let (text, body) = read_request(&mut caller).await?;
    let mut upstream = TcpStream::connect(endpoint).await?;
    let closing = text.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    upstream.write_all(closing.as_bytes()).await?;
    upstream.write_all(&body).await?;
    let runs = text.starts_with("POST /v1/completions")
        || text.starts_with("GET /v1/attempts/")
        || text.starts_with("GET /stock")
        || text.starts_with("POST /orders");
    let step =
        if runs { steps.get(next_step.fetch_add(1, Ordering::SeqCst)).copied() } else { None };
    match step.unwrap_or(Step::Pass) {
        Step::Pass => {
            tokio::io::copy(&mut upstream, &mut caller).await?;
        }
        Step::Cut(cut) => {
            let mut response = Vec::new();
            upstream.read_to_end(&mut response).await?;
            caller.write_all(&response[..cut.position(&response)]).await?;
        }
        Step::Replace(response) => caller.write_all(response.as_bytes()).await?,
    }
    caller.shutdown().await
}

/// Puts a proxy before each engine and service of a deployment.
async fn put_before(deployment: &mut Deployment, steps: &[Step]) -> Vec<CuttingProxy> {
    let (steps, next_step) = (Arc::from(steps), Arc::new(AtomicUsize::new(0)));
    let mut proxies = Vec::new();
    let engines = deployment.engines.iter_mut().map(|(_, host)| host);
    let services = deployment.services.iter_mut().map(|(_, host)| host);
    for host in engines.chain(services) {
        let proxy =
            CuttingProxy::start(host.address, Arc::clone(&steps), next_step.clone()).await.unwrap();
        host.address = proxy.address;
        proxies.push(proxy);
    }
    deployment.publish();
    // Engines are asked for their load all the time.
    let engines = deployment.engines.len();
    eventually(|| async {
        let is_used = |proxy: &CuttingProxy| proxy.requests.load(Ordering::SeqCst) > 0;
        proxies[..engines].iter().all(is_used).then_some(())
    })
    .await
    .expect("the instance uses the proxies");
    proxies
}

/// The first response to a prompt is cut; the next ones are cut as well, are another one, or are sound.
#[rstest]
#[tokio::test]
async fn a_cut_or_foreign_response_of_an_engine_is_no_part_of_an_answer(
    #[values(
        Cut::BeforeHead,
        Cut::InStatusLine,
        Cut::BeforeBlankLine,
        Cut::InBlankLine,
        Cut::AfterHead,
        Cut::InChunkSize,
        Cut::AfterEvent,
        Cut::InsideEvent,
        Cut::InsideChunk
    )]
    cut: Cut,
    #[values(true, false)] stream: bool,
) {
    let nexts = [
        Step::Pass,
        Step::Cut(cut),
        Step::Replace(ERROR),
        Step::Replace(REFUSAL),
        Step::Replace(OTHER_EVENT),
        Step::Replace(NO_HTTP),
    ];
    for next in nexts {
        let mut deployment = Deployment::start(1, &fast_engine()).await.unwrap();
        let _proxies = put_before(&mut deployment, &[Step::Cut(cut), next, next]).await;
        let (caller, url) = (deployment.caller(), deployment.url(0));
        let result = caller.prompt(&url, "assistant", "which tin?", 40, stream).await;
        assert_ne!(result.outcome, Outcome::Mismatched, "next: {next:?}");
        assert!(
            next != Step::Pass || result.outcome == Outcome::Complete,
            "{:?} after a sound response",
            result.outcome
        );
    }
}

/// A truncated response to an order is reported as one of unknown outcome, and the order runs once.
#[rstest]
#[tokio::test]
async fn a_cut_response_to_an_order_is_not_passed_on_as_whole(
    #[values(
        Cut::BeforeHead,
        Cut::InStatusLine,
        Cut::BeforeBlankLine,
        Cut::InBlankLine,
        Cut::AfterHead
    )]
    cut: Cut,
) {
    let mut deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let _proxies = put_before(&mut deployment, &[Step::Cut(cut); 8]).await;
    let (caller, url) = (deployment.caller(), deployment.url(0));
    let outcome = caller.order(&url, "desk", "o-1").await;
    let Outcome::Refused { status, ran, .. } = &outcome else { panic!("{outcome:?}") };
    assert!(*status >= 500 && ran == "maybe", "{outcome:?}");
    let orders = deployment.services[0].0.stats().orders;
    assert!(orders.values().all(|count| *count == 1), "{orders:?}");
}

/// "Not run" has to be true of every attempt, also of one whose response was cut before another endpoint refused the call.
#[tokio::test]
async fn a_call_that_may_have_run_is_not_reported_as_not_run_after_a_refused_retry() {
    let mut deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    deployment.add_service().await.unwrap();
    let steps = [Step::Cut(Cut::BeforeHead), Step::Replace(DRAINING)];
    let _proxies = put_before(&mut deployment, &steps).await;
    let request = deployment.client.get(format!("{}/services/desk/stock/tin", deployment.url(0)));
    let request = request.bearer_auth(KEY).header("bilberryford-timeout-ms", 5_000);
    let response = request.send().await.expect("a response");
    assert_eq!(response.headers()["bilberryford-ran"], "maybe", "{response:?}");
    let lookups: u64 = deployment.services.iter().map(|(service, _)| service.stats().lookups).sum();
    assert!(lookups >= 1, "the first attempt runs");
}
