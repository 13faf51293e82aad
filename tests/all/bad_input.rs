//! Bad input gets a clear typed error at once, marked not run, and the instance stays unharmed.

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

#[derive(Clone)]
struct Bad {
    path: &'static str,
    key: Option<&'static str>,
    timeout_ms: Option<&'static str>,
    body: String,
    headers: usize,
}

impl Bad {
    fn prompt() -> Self {
        Self {
            path: "/v1/completions",
            key: Some(KEY),
            timeout_ms: Some("5000"),
            body: prompt_body(),
            headers: 0,
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
        (0..self.headers)
            .fold(request, |request, number| request.header(format!("x-flood-{number}"), "x"))
    }
}

#[rstest]
#[case::no_key(Bad { key: None, ..Bad::prompt() }, 401, "unauthenticated")]
#[case::unknown_key(Bad { key: Some("wrong"), ..Bad::prompt() }, 401, "unauthenticated")]
#[case::malformed(Bad { body: "{\"model\":".to_owned(), ..Bad::prompt() }, 400, "malformed")]
#[case::wrong_shape(Bad { body: "[1]".to_owned(), ..Bad::prompt() }, 400, "malformed")]
#[case::unknown_model(
    Bad { body: json!({ "model": "other", "prompt": "x" }).to_string(), ..Bad::prompt() }, 404, "unknown_model"
)]
#[case::no_deadline(Bad { timeout_ms: None, ..Bad::prompt() }, 400, "bad_deadline")]
#[case::unreadable_deadline(Bad { timeout_ms: Some("soon"), ..Bad::prompt() }, 400, "bad_deadline")]
#[case::too_long(Bad { body: "x".repeat(5_000_000), ..Bad::prompt() }, 413, "too_large")]
#[case::header_flood(Bad { headers: 80, ..Bad::prompt() }, 431, "headers_too_large")]
#[case::no_such_path(Bad { path: "/v1/nothing", ..Bad::prompt() }, 404, "not_found")]
#[case::no_such_service(Bad { path: "/services/none/x", ..Bad::prompt() }, 404, "not_found")]
#[case::order_without_key(Bad { path: "/services/desk/orders", ..Bad::prompt() }, 400, "key_missing")]
#[tokio::test]
async fn bad_input_is_refused_as_not_run(
    #[case] bad: Bad,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let url = deployment.url(0);
    let answer =
        timeout(LIMIT, bad.request(&deployment.client, &url).send()).await.unwrap().unwrap();
    assert_eq!(answer.status().as_u16(), status);
    assert_eq!(answer.headers()["bilberryford-ran"], "no");
    let body: Value = answer.json().await.unwrap();
    assert_eq!(body["error"]["type"], kind);
    assert_unharmed(&deployment).await;
}

#[tokio::test]
async fn a_body_that_stops_half_way_is_refused_as_not_run() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let mut stream = TcpStream::connect(deployment.instances[0].address).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         bilberryford-timeout-ms: 5000\r\ncontent-length: 500\r\n\r\n{{\"model\":"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    let _ = timeout(Duration::from_secs(15), stream.read_to_string(&mut answer)).await.unwrap();
    assert!(answer.is_empty() || answer.contains("bilberryford-ran: no"), "{answer}");
    assert_unharmed(&deployment).await;
}

async fn assert_unharmed(deployment: &Deployment) {
    let started: u64 = deployment.engines.iter().map(|(engine, _)| engine.stats().started).sum();
    assert_eq!(started, 0, "nothing may have run");
    let seen =
        deployment.caller().prompt(&deployment.url(0), "assistant", "still there?", 4, false).await;
    assert_eq!(seen.outcome, bilberryford_standins::load::Outcome::Complete);
}
