//! Configuration with the real binary: operators' commands, and what comes into force.

use std::{
    io::Write,
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use bilberryford_standins::{platform::Faults, process::Instance};
use bilberryford_types::EventKind;
use rstest::rstest;
use tokio::task::spawn_blocking;

use crate::support::{DOCUMENT, Deployment, eventually, fast_engine};

/// How soon an accepted configuration is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// The example document with another share for its first team.
fn document(share: u32) -> String {
    DOCUMENT.replacen("share = 3", &format!("share = {share}"), 1)
}

/// A document in a file of its own, which is removed when it is dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("bilberryford-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

async fn command(arguments: Vec<String>) -> Output {
    spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_bilberryford")).args(arguments).output().unwrap()
    })
    .await
    .unwrap()
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

async fn apply(platform: &str, file: &File, more: &[&str]) -> Output {
    let path = file.0.display().to_string();
    let mut arguments = words(&["apply", "--environment", "trial", "--platform-url", platform]);
    arguments.extend(words(more));
    arguments.push(path);
    command(arguments).await
}

async fn promote(platform: &str, generation: &str, replaces: &str) -> Output {
    let arguments = ["promote", "--generation", generation, "--replaces", replaces];
    command(words(&[&arguments[..], &["--platform-url", platform]].concat())).await
}

fn said(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text)
        .split_whitespace()
        .filter(|word| *word != "│")
        .collect::<Vec<_>>()
        .join(" ")
}

fn stored(deployment: &Deployment, environment: &str) -> serde_json::Value {
    let objects = deployment.platform.objects("config");
    let (_, body) = objects.iter().find(|(name, _)| name == environment).expect("it is accepted");
    serde_json::from_str(body).unwrap()
}

#[tokio::test]
async fn a_change_is_in_force_on_nine_instances_within_seconds() {
    let deployment = Deployment::start(9, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let all: Vec<_> = (0..9).collect();
    let mut longest = Duration::ZERO;
    for generation in 2..6 {
        let file = File::new("nine", &document(generation));
        let output = apply(&platform, &file, &[]).await;
        assert!(output.status.success(), "{}", said(&output));
        let took = deployment.all_at(&all, generation.into()).await.expect("in force everywhere");
        longest = longest.max(took);
    }
    println!("in force on 9 instances after at most {} ms", longest.as_millis());
    assert!(longest <= IN_FORCE_LIMIT, "took {longest:?}");
}

#[tokio::test]
async fn of_two_operators_who_edited_the_same_generation_one_is_told_of_the_conflict() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let files = [File::new("race-a", &document(10)), File::new("race-b", &document(20))];
    // The platform is slow, so that both read before either writes.
    deployment.platform.set_faults(Faults { slow_ms: 200, ..Default::default() });
    let (one, other) = tokio::join!(
        apply(&platform, &files[0], &["--edited", "1"]),
        apply(&platform, &files[1], &["--edited", "1"]),
    );
    assert!(one.status.success() != other.status.success(), "{} {}", said(&one), said(&other));
    let (won, lost, share) = if one.status.success() { (one, other, 10) } else { (other, one, 20) };
    assert!(said(&won).contains("generation 2 of trial accepted"), "{}", said(&won));
    let expected = "generation 1 was edited, but generation 2 is accepted; nothing was written";
    assert!(said(&lost).contains("generation 1 was edited"), "{}", said(&lost));
    assert!(said(&lost).contains(expected), "{}", said(&lost));
    let found = stored(&deployment, "trial");
    assert_eq!(
        (found["generation"].as_u64(), found["document"].as_str()),
        (Some(2), Some(&document(share)[..]))
    );
}

#[tokio::test]
async fn a_change_of_a_generation_that_is_not_accepted_any_more_is_refused() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let first = apply(&platform, &File::new("stale-a", &document(11)), &["--edited", "1"]).await;
    assert!(first.status.success(), "{}", said(&first));
    let stale = apply(&platform, &File::new("stale-b", &document(12)), &["--edited", "1"]).await;
    let expected = "generation 1 was edited, but generation 2 is accepted; nothing was written";
    assert!(!stale.status.success() && said(&stale).contains(expected), "{}", said(&stale));
    assert_eq!(stored(&deployment, "trial")["document"], document(11));
}

#[rstest]
#[case::answer_lost(Faults { lose_answers: 1, ..Default::default() })]
#[case::two_answers_lost(Faults { lose_answers: 2, ..Default::default() })]
#[case::written_late(Faults { delay_writes: 1, delay_ms: 150, ..Default::default() })]
#[case::written_very_late(Faults { delay_writes: 1, delay_ms: 2_000, ..Default::default() })]
#[case::two_written_late(Faults { delay_writes: 2, delay_ms: 450, ..Default::default() })]
#[tokio::test]
async fn a_lost_answer_is_read_back_and_the_operator_is_told_the_truth(#[case] faults: Faults) {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    // Leases and the status are written all the time and would use the faults up.
    let only_kind = "config".to_owned();
    deployment.platform.set_faults(Faults { only_kind, ..faults.clone() });
    let file = File::new(
        &format!("lost-{faults:?}").replace([' ', '{', '}', ':', ','], ""),
        &document(30),
    );
    let output = apply(&platform, &file, &["--edited", "1"]).await;
    assert!(said(&output).contains("generation 2 of trial accepted"), "{}", said(&output));
    deployment.all_at(&[0], 2).await.expect("in force");
    // Whatever lands late changes nothing any more.
    let conflicts = u64::from(faults.delay_writes);
    eventually(|| async { (deployment.platform.stats().conflicts >= conflicts).then_some(()) })
        .await
        .expect("late writes have landed");
    assert_eq!(stored(&deployment, "trial")["generation"], 2);
    let again = apply(&platform, &file, &["--edited", "1"]).await;
    assert!(said(&again).contains("generation 2 of trial already has this document"));
}

#[tokio::test]
async fn with_the_platform_out_nothing_is_accepted_and_the_operator_is_told_so() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    deployment.platform.set_faults(Faults { outage: true, ..Default::default() });
    let output = apply(&platform, &File::new("out", &document(40)), &[]).await;
    assert!(!output.status.success() && said(&output).contains("nothing was written"));
    assert_eq!(stored(&deployment, "trial")["generation"], 1);
}

async fn write_head(deployment: &Deployment, body: &str) {
    let url = format!("{}/objects/config/trial", deployment.platform_host.url());
    let found = deployment.client.get(&url).send().await.unwrap();
    let version = found.headers()["etag"].clone();
    let request = deployment.client.put(url).header("if-match", version).body(body.to_owned());
    assert!(request.send().await.unwrap().status().is_success());
}

#[rstest]
#[case::not_json("no configuration at all")]
#[case::not_toml(r#"{"generation":7,"document":"environment = "}"#)]
#[case::unknown_field(r#"{"generation":7,"document":"environment = \"trial\"\nteems = []"}"#)]
#[case::other_environment(r#"{"generation":7,"document":"environment = \"production\""}"#)]
#[tokio::test]
async fn bad_content_never_displaces_the_last_good(#[case] body: &str) {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    write_head(&deployment, body).await;
    deployment
        .all_have(&[0, 1], |event| event.kind == EventKind::ConfigRefused)
        .await
        .expect("it is refused");
    for instance in 0..2 {
        assert_eq!(deployment.generation(instance).await, Some(1));
    }
    let good = serde_json::json!({ "generation": 8, "document": document(50) });
    write_head(&deployment, &good.to_string()).await;
    deployment.all_at(&[0, 1], 8).await.expect("the next good one comes into force");
}

#[tokio::test]
async fn in_an_outage_a_new_instance_takes_the_configuration_and_the_endpoints_from_peers() {
    let mut deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let output = apply(&platform, &File::new("outage", &document(60)), &[]).await;
    assert!(output.status.success(), "{}", said(&output));
    deployment.all_at(&[0, 1, 2], 2).await.expect("in force");
    deployment.platform.set_faults(Faults { outage: true, ..Default::default() });
    let seeds = format!(
        "127.0.0.1:1,{},{}",
        deployment.instances[1].peer_address, deployment.instances[2].peer_address
    );
    deployment.add_unlisted_instance("entry-4", &platform, &["--peers", &seeds]).unwrap();
    deployment.all_at(&[3], 2).await.expect("it has the configuration of its peers");
    let seen = eventually(|| async {
        let url = deployment.url(3);
        let seen = deployment.caller().prompt(&url, "assistant", "hello", 10, false).await;
        (seen.outcome == bilberryford_standins::load::Outcome::Complete).then_some(())
    });
    seen.await.expect("it serves prompts");
}

#[tokio::test]
async fn a_restarted_instance_never_shows_an_older_generation() {
    let mut deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let old = stored(&deployment, "trial");
    let output = apply(&platform, &File::new("restart", &document(70)), &[]).await;
    assert!(output.status.success(), "{}", said(&output));
    deployment.all_at(&[0, 1, 2], 2).await.expect("in force");
    // The platform answers with what it had before, as a replica that lags would.
    write_head(&deployment, &old.to_string()).await;
    let restarted: Instance = deployment.instances.remove(2);
    restarted.kill();
    deployment.add_instance("entry-3").unwrap();
    deployment.all_at(&[2], 2).await.expect("it takes the newer one from its peers");
    let events = deployment.events(2).await;
    let generations: Vec<_> = events
        .iter()
        .filter(|event| event.kind == EventKind::ConfigInForce)
        .map(|event| event.generation)
        .collect();
    assert!(generations.is_sorted(), "{generations:?}");
    for instance in 0..2 {
        assert_eq!(deployment.generation(instance).await, Some(2));
    }
}

#[tokio::test]
async fn a_promotion_copies_the_named_generation_under_both_preconditions() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let first = promote(&platform, "1", "0").await;
    assert!(said(&first).contains("generation 1 of production accepted"), "{}", said(&first));
    let expected = DOCUMENT.replacen("\"trial\"", "\"production\"", 1);
    assert_eq!(stored(&deployment, "production")["document"], expected);

    apply(&platform, &File::new("promote", &document(80)), &["--edited", "1"]).await;
    let stale = promote(&platform, "1", "1").await;
    assert!(!stale.status.success() && said(&stale).contains("generation 2 is accepted there"));
    deployment.platform.set_faults(Faults { slow_ms: 200, ..Default::default() });
    let racing =
        File::new("promote-race", &document(90).replacen("\"trial\"", "\"production\"", 1));
    let path = racing.0.display().to_string();
    let arguments = ["apply", "--environment", "production", "--platform-url", &platform];
    let direct = command(words(&[&arguments[..], &["--edited", "1", &path]].concat()));
    let (one, other) = tokio::join!(promote(&platform, "2", "1"), direct);
    assert!(one.status.success() != other.status.success(), "{} {}", said(&one), said(&other));
    let lost = if one.status.success() { other } else { one };
    assert!(said(&lost).contains("generation 1 was edited"), "{}", said(&lost));
    assert_eq!(stored(&deployment, "production")["generation"], 2);
}

#[tokio::test]
async fn the_status_shows_what_is_in_force_and_who_lags() {
    let deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let arguments =
        words(&["status", "--json", "--environment", "trial", "--platform-url", &platform]);
    let read = || async {
        let output = command(arguments.clone()).await;
        serde_json::from_slice::<serde_json::Value>(&output.stdout).ok()
    };
    let status = eventually(|| async {
        let status = read().await?;
        let instances = status["seen"]["instances"].as_array()?;
        (instances.len() == 3 && status["in_force_everywhere"] == true).then_some(status)
    });
    let status = status.await.expect("all instances have the generation in force");
    assert_eq!((&status["accepted"], &status["laggards"]), (&1.into(), &serde_json::json!([])));
    // A generation that no instance can take: all lag.
    write_head(&deployment, r#"{"generation":2,"document":"environment = \"production\""}"#).await;
    let status = read().await.expect("a status");
    assert_eq!((&status["accepted"], &status["in_force_everywhere"]), (&2.into(), &false.into()));
    assert_eq!(status["laggards"].as_array().map(Vec::len), Some(3));
    let writes = deployment.platform.stats().puts;
    println!("{writes} writes so far");
}
