//! Invalid requests get a typed error marked as not run, and the instance goes on serving.

use std::time::Duration;

use reqwest::{RequestBuilder, header};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::support::{Deployment, KEY, LIMIT, fast_engine};

fn prompt_body() -> String {
    json!({ "model": "assistant", "prompt": "hello" }).to_string()
}

/// A request with one fault.
#[derive(Clone)]
struct BadRequest {
    path: &'static str,
    key: Option<&'static str>,
    timeout_ms: Option<&'static str>,
    body: String,
    extra_headers: usize,
}

impl BadRequest {
    fn prompt() -> Self {
        Self {
            path: "/v1/completions",
            key: Some(KEY),
            timeout_ms: Some("5000"),
            body: prompt_body(),
            extra_headers: 0,
        }
    }

    fn request(&self, client: &reqwest::Client, url: &str) -> RequestBuilder {
        let mut request = client.post(format!("{url}{}", self.path)).body(self.body.clone());
        if let Some(key) = self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(timeout_ms) = self.timeout_ms {
            request = request.header("bilberryford-timeout-ms", timeout_ms);
        }
        (0..self.extra_headers)
            .fold(request, |request, number| request.header(format!("x-flood-{number}"), "x"))
    }
}

#[rstest]
#[case::no_key(BadRequest { key: None, ..BadRequest::prompt() }, 401, "unauthenticated")]
#[case::unknown_key(BadRequest { key: Some("wrong"), ..BadRequest::prompt() }, 401, "unauthenticated")]
#[case::malformed(BadRequest { body: "{\"model\":".to_owned(), ..BadRequest::prompt() }, 400, "malformed")]
#[case::wrong_shape(BadRequest { body: "[1]".to_owned(), ..BadRequest::prompt() }, 400, "malformed")]
#[case::unknown_model(
    BadRequest { body: json!({ "model": "other", "prompt": "x" }).to_string(), ..BadRequest::prompt() },
    404,
    "unknown_model"
)]
#[case::no_deadline(BadRequest { timeout_ms: None, ..BadRequest::prompt() }, 400, "bad_deadline")]
#[case::unreadable_deadline(BadRequest { timeout_ms: Some("soon"), ..BadRequest::prompt() }, 400, "bad_deadline")]
#[case::too_long(BadRequest { body: "x".repeat(5_000_000), ..BadRequest::prompt() }, 413, "too_large")]
#[case::header_flood(BadRequest { extra_headers: 80, ..BadRequest::prompt() }, 431, "headers_too_large")]
#[case::no_such_path(BadRequest { path: "/v1/nothing", ..BadRequest::prompt() }, 404, "not_found")]
#[case::no_such_service(BadRequest { path: "/services/none/x", ..BadRequest::prompt() }, 404, "not_found")]
#[case::order_without_key(BadRequest { path: "/services/desk/orders", ..BadRequest::prompt() }, 400, "key_missing")]
#[tokio::test]
async fn bad_input_is_refused_as_not_run(
    #[case] bad: BadRequest,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let url = deployment.url(0);
    let response =
        timeout(LIMIT, bad.request(&deployment.client, &url).send()).await.unwrap().unwrap();
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.headers()["bilberryford-ran"], "no");
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["type"], kind);
    assert_still_serving(&deployment).await;
}

#[tokio::test]
async fn a_truncated_body_is_refused_as_not_run() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let mut stream = TcpStream::connect(deployment.instances[0].address).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         bilberryford-timeout-ms: 5000\r\ncontent-length: 500\r\n\r\n{{\"model\":"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut response = String::new();
    let _ = timeout(Duration::from_secs(15), stream.read_to_string(&mut response)).await.unwrap();
    assert!(response.is_empty() || response.contains("bilberryford-ran: no"), "{response}");
    assert_still_serving(&deployment).await;
}

async fn assert_still_serving(deployment: &Deployment) {
    let started: u64 = deployment.engines.iter().map(|(engine, _)| engine.stats().started).sum();
    assert_eq!(started, 0, "no engine may have run the bad request");
    let result =
        deployment.caller().prompt(&deployment.url(0), "assistant", "still there?", 4, false).await;
    assert_eq!(result.outcome, bilberryford_standins::load::Outcome::Complete);
}
