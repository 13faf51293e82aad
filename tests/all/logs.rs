//! Prompts, responses, keys and order bodies never appear in logs or events.

use std::{process::Stdio, time::Duration};

use bilberryford_standins::{answer, engine::CRASH_MARKER};
use reqwest::header;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, BufReader},
    process::{Child, Command},
};

use crate::support::{Deployment, KEY, eventually, fast_engine};

const PROMPT: &str = "prompt-7c1e where is the lorry";
const RUN_KEY: &str = "run-key-of-this-test-83b1";
const WRONG_KEY: &str = "wrong-key-55d0";
const ORDER_BODY: &str = "order-body-90aa twenty-one tins";
const TOKENS: u32 = 20;

fn start_instance(platform_url: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_bilberryford"))
        .args(["serve", "--instance", "entry-log", "--data-centre", "linz-1"])
        .args(["--environment", "trial", "--platform-url", platform_url, "--run-key", RUN_KEY])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--drain-delay-ms", "100", "--log-format", "json", "--log-level", "debug"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}

async fn read_url(child: &mut Child) -> String {
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).await.unwrap();
    let http = line.split_whitespace().find_map(|word| word.strip_prefix("http="));
    format!("http://{}", http.expect("the listening line names an HTTP address"))
}

fn prompt(content: &str) -> String {
    let messages = serde_json::json!([{ "role": "user", "content": content }]);
    serde_json::json!({ "model": "assistant", "max_tokens": TOKENS, "messages": messages })
        .to_string()
}

/// Sends a request and returns the status and the body.
async fn send(
    client: &reqwest::Client,
    url: &str,
    key: &str,
    idempotency_key: &str,
    body: String,
) -> (u16, String) {
    let request = client.post(url).body(body).timeout(Duration::from_secs(10));
    let request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
    let request = request.header(header::CONTENT_TYPE, "application/json");
    let response = request
        .header("bilberryford-timeout-ms", 5_000)
        .header("idempotency-key", idempotency_key)
        .send()
        .await
        .unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

#[tokio::test]
async fn nothing_confidential_reaches_logs_or_events() {
    let deployment = Deployment::start(0, &fast_engine()).await.unwrap();
    deployment.publish();
    let mut child = start_instance(&deployment.platform_host.url());
    let mut stderr = child.stderr.take().unwrap();
    let logs = tokio::spawn(async move {
        let mut text = String::new();
        stderr.read_to_string(&mut text).await.map(|_| text)
    });
    let url = read_url(&mut child).await;
    let client = &deployment.client;
    let ready = eventually(|| async {
        let text = client.get(format!("{url}/readyz")).send().await.ok()?.text().await.ok()?;
        text.ends_with("endpoints 3\n").then_some(())
    });
    ready.await.expect("the instance becomes ready within the limit");
    let chat = format!("{url}/v1/chat/completions");
    let orders = format!("{url}/services/desk/orders");
    let full_text = answer::full_text(&answer::chat_prompt(PROMPT), "v1", TOKENS);
    let (status, text) = send(client, &chat, KEY, "none", prompt(PROMPT)).await;
    assert!(status == 200 && text.contains(&full_text), "{status} {text}");
    assert_eq!(send(client, &orders, KEY, "order-1", ORDER_BODY.to_owned()).await.0, 200);
    // Refused requests: an unknown API key, a body that is not JSON, an idempotency key with another body, and a
    // prompt that crashes engines.
    assert_eq!(send(client, &chat, WRONG_KEY, "none", prompt(PROMPT)).await.0, 401);
    assert_eq!(send(client, &chat, KEY, "none", format!("{{{PROMPT}")).await.0, 400);
    let other = format!("{ORDER_BODY} and more");
    assert!(send(client, &orders, KEY, "order-1", other).await.0 >= 400);
    let poison = prompt(&format!("{CRASH_MARKER} {PROMPT}"));
    assert!(send(client, &chat, KEY, "none", poison).await.0 >= 400);
    let events = client.get(format!("{url}/events")).send().await.unwrap().text().await.unwrap();
    nix::sys::signal::kill(
        nix::unistd::Pid::from_raw(child.id().unwrap().try_into().unwrap()),
        nix::sys::signal::Signal::SIGTERM,
    )
    .unwrap();
    child.wait().await.unwrap();
    let logs = logs.await.unwrap().unwrap();
    assert!(logs.contains("DEBUG") || logs.contains("debug"), "the log has no debug lines: {logs}");
    assert!(events.contains("refused"), "{events}");
    for (output, text) in [("the log", &logs), ("/events", &events)] {
        for secret in [
            PROMPT,
            "prompt-7c1e",
            &full_text,
            KEY,
            WRONG_KEY,
            RUN_KEY,
            ORDER_BODY,
            "order-body-90aa",
        ] {
            let line = text.lines().find(|line| line.contains(secret));
            assert!(line.is_none(), "{output} holds {secret}: {line:?}");
        }
    }
}
