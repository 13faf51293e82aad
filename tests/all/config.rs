//! Configuration changes: the operators' commands, and which generation the instances have in force.

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

/// Longest time until an accepted configuration is in force on all instances.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Returns the example document with another share for its first team.
fn document(share: u32) -> String {
    DOCUMENT.replacen("share = 3", &format!("share = {share}"), 1)
}

/// A document in a temporary file. Dropping it removes the file.
struct DocumentFile(PathBuf);

impl DocumentFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("bilberryford-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
        Self(path)
    }
}

impl Drop for DocumentFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

async fn run_command(arguments: Vec<String>) -> Output {
    spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_bilberryford")).args(arguments).output().unwrap()
    })
    .await
    .unwrap()
}

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

async fn apply(platform: &str, file: &DocumentFile, flags: &[&str]) -> Output {
    let path = file.0.display().to_string();
    let mut arguments =
        to_strings(&["apply", "--environment", "trial", "--platform-url", platform]);
    arguments.extend(to_strings(flags));
    arguments.push(path);
    run_command(arguments).await
}

async fn promote(platform: &str, generation: &str, replaces: &str) -> Output {
    let arguments = ["promote", "--generation", generation, "--replaces", replaces];
    run_command(to_strings(&[&arguments[..], &["--platform-url", platform]].concat())).await
}

/// Returns the output of a command as words with single spaces between them, without the bars of wrapped diagnostics.
fn output_text(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text)
        .split_whitespace()
        .filter(|word| *word != "│")
        .collect::<Vec<_>>()
        .join(" ")
}

fn stored(deployment: &Deployment, environment: &str) -> serde_json::Value {
    let objects = deployment.platform.objects("config");
    let (_, body) =
        objects.iter().find(|(name, _)| name == environment).expect("a generation is accepted");
    serde_json::from_str(body).unwrap()
}

#[tokio::test]
async fn a_change_is_in_force_on_nine_instances_within_the_limit() {
    let deployment = Deployment::start(9, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let all: Vec<_> = (0..9).collect();
    let mut longest = Duration::ZERO;
    for generation in 2..6 {
        let file = DocumentFile::new("nine", &document(generation));
        let output = apply(&platform, &file, &[]).await;
        assert!(output.status.success(), "{}", output_text(&output));
        let took =
            deployment.all_in_force(&all, generation.into()).await.expect("in force everywhere");
        longest = longest.max(took);
    }
    println!("in force on 9 instances after at most {} ms", longest.as_millis());
    assert!(longest <= IN_FORCE_LIMIT, "took {longest:?}");
}

#[tokio::test]
async fn concurrent_edits_of_one_generation_give_one_operator_a_conflict() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let files =
        [DocumentFile::new("race-a", &document(10)), DocumentFile::new("race-b", &document(20))];
    // A slow platform makes both commands read before either writes.
    deployment.platform.set_faults(Faults { slow_ms: 200, ..Default::default() });
    let (one, other) = tokio::join!(
        apply(&platform, &files[0], &["--edited", "1"]),
        apply(&platform, &files[1], &["--edited", "1"]),
    );
    assert!(
        one.status.success() != other.status.success(),
        "{} {}",
        output_text(&one),
        output_text(&other)
    );
    let (won, lost, share) = if one.status.success() { (one, other, 10) } else { (other, one, 20) };
    assert!(output_text(&won).contains("generation 2 of trial accepted"), "{}", output_text(&won));
    let expected = "generation 1 was edited, but generation 2 is accepted; nothing was written";
    assert!(output_text(&lost).contains("generation 1 was edited"), "{}", output_text(&lost));
    assert!(output_text(&lost).contains(expected), "{}", output_text(&lost));
    let found = stored(&deployment, "trial");
    assert_eq!(
        (found["generation"].as_u64(), found["document"].as_str()),
        (Some(2), Some(&document(share)[..]))
    );
}

#[tokio::test]
async fn an_edit_of_a_superseded_generation_is_refused() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let first =
        apply(&platform, &DocumentFile::new("stale-a", &document(11)), &["--edited", "1"]).await;
    assert!(first.status.success(), "{}", output_text(&first));
    let stale =
        apply(&platform, &DocumentFile::new("stale-b", &document(12)), &["--edited", "1"]).await;
    let expected = "generation 1 was edited, but generation 2 is accepted; nothing was written";
    assert!(
        !stale.status.success() && output_text(&stale).contains(expected),
        "{}",
        output_text(&stale)
    );
    assert_eq!(stored(&deployment, "trial")["document"], document(11));
}

#[rstest]
#[case::response_lost(Faults { lose_answers: 1, ..Default::default() })]
#[case::two_responses_lost(Faults { lose_answers: 2, ..Default::default() })]
#[case::written_late(Faults { delay_writes: 1, delay_ms: 150, ..Default::default() })]
#[case::written_very_late(Faults { delay_writes: 1, delay_ms: 2_000, ..Default::default() })]
#[case::two_written_late(Faults { delay_writes: 2, delay_ms: 450, ..Default::default() })]
#[tokio::test]
async fn a_lost_write_response_is_read_back_and_the_true_result_is_reported(
    #[case] faults: Faults,
) {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    // Periodic writes of leases and of the status would otherwise use the faults up.
    let only_kind = "config".to_owned();
    deployment.platform.set_faults(Faults { only_kind, ..faults.clone() });
    let file = DocumentFile::new(
        &format!("lost-{faults:?}").replace([' ', '{', '}', ':', ','], ""),
        &document(30),
    );
    let output = apply(&platform, &file, &["--edited", "1"]).await;
    assert!(
        output_text(&output).contains("generation 2 of trial accepted"),
        "{}",
        output_text(&output)
    );
    deployment.all_in_force(&[0], 2).await.expect("in force");
    // Writes that arrive late fail their precondition and change nothing.
    let conflicts = u64::from(faults.delay_writes);
    eventually(|| async { (deployment.platform.stats().conflicts >= conflicts).then_some(()) })
        .await
        .expect("late writes have arrived and conflicted");
    assert_eq!(stored(&deployment, "trial")["generation"], 2);
    let again = apply(&platform, &file, &["--edited", "1"]).await;
    assert!(output_text(&again).contains("generation 2 of trial already has this document"));
}

#[tokio::test]
async fn a_platform_outage_makes_apply_report_that_nothing_was_written() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    deployment.platform.set_faults(Faults { outage: true, ..Default::default() });
    let output = apply(&platform, &DocumentFile::new("out", &document(40)), &[]).await;
    assert!(!output.status.success() && output_text(&output).contains("nothing was written"));
    assert_eq!(stored(&deployment, "trial")["generation"], 1);
}

async fn write_config_head(deployment: &Deployment, body: &str) {
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
async fn an_invalid_configuration_never_replaces_the_last_valid_one(#[case] body: &str) {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    write_config_head(&deployment, body).await;
    deployment
        .all_have_event(&[0, 1], |event| event.kind == EventKind::ConfigRefused)
        .await
        .expect("both instances refuse the configuration");
    for instance in 0..2 {
        assert_eq!(deployment.generation(instance).await, Some(1));
    }
    let valid = serde_json::json!({ "generation": 8, "document": document(50) });
    write_config_head(&deployment, &valid.to_string()).await;
    deployment
        .all_in_force(&[0, 1], 8)
        .await
        .expect("the next valid configuration comes into force");
}

#[tokio::test]
async fn a_new_instance_gets_configuration_and_endpoints_from_peers_in_an_outage() {
    let mut deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let output = apply(&platform, &DocumentFile::new("outage", &document(60)), &[]).await;
    assert!(output.status.success(), "{}", output_text(&output));
    deployment.all_in_force(&[0, 1, 2], 2).await.expect("in force");
    deployment.platform.set_faults(Faults { outage: true, ..Default::default() });
    let seeds = format!(
        "127.0.0.1:1,{},{}",
        deployment.instances[1].peer_address, deployment.instances[2].peer_address
    );
    deployment.add_unlisted_instance("entry-4", &platform, &["--peers", &seeds]).unwrap();
    deployment
        .all_in_force(&[3], 2)
        .await
        .expect("the new instance gets the configuration from its peers");
    let served = eventually(|| async {
        let url = deployment.url(3);
        let result = deployment.caller().prompt(&url, "assistant", "hello", 10, false).await;
        (result.outcome == bilberryford_standins::load::Outcome::Complete).then_some(())
    });
    served.await.expect("the new instance serves prompts");
}

#[tokio::test]
async fn a_restarted_instance_never_serves_an_older_generation() {
    let mut deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let previous = stored(&deployment, "trial");
    let output = apply(&platform, &DocumentFile::new("restart", &document(70)), &[]).await;
    assert!(output.status.success(), "{}", output_text(&output));
    deployment.all_in_force(&[0, 1, 2], 2).await.expect("in force");
    // The platform returns the previous generation, as a lagging replica would.
    write_config_head(&deployment, &previous.to_string()).await;
    let restarted: Instance = deployment.instances.remove(2);
    restarted.kill();
    deployment.add_instance("entry-3").unwrap();
    deployment
        .all_in_force(&[2], 2)
        .await
        .expect("the restarted instance gets the newer generation from its peers");
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
    assert!(
        output_text(&first).contains("generation 1 of production accepted"),
        "{}",
        output_text(&first)
    );
    let expected = DOCUMENT.replacen("\"trial\"", "\"production\"", 1);
    assert_eq!(stored(&deployment, "production")["document"], expected);

    apply(&platform, &DocumentFile::new("promote", &document(80)), &["--edited", "1"]).await;
    let stale = promote(&platform, "1", "1").await;
    assert!(
        !stale.status.success() && output_text(&stale).contains("generation 2 is accepted there")
    );
    deployment.platform.set_faults(Faults { slow_ms: 200, ..Default::default() });
    let racing =
        DocumentFile::new("promote-race", &document(90).replacen("\"trial\"", "\"production\"", 1));
    let path = racing.0.display().to_string();
    let arguments = ["apply", "--environment", "production", "--platform-url", &platform];
    let direct = run_command(to_strings(&[&arguments[..], &["--edited", "1", &path]].concat()));
    let (one, other) = tokio::join!(promote(&platform, "2", "1"), direct);
    assert!(
        one.status.success() != other.status.success(),
        "{} {}",
        output_text(&one),
        output_text(&other)
    );
    let lost = if one.status.success() { other } else { one };
    assert!(output_text(&lost).contains("generation 1 was edited"), "{}", output_text(&lost));
    assert_eq!(stored(&deployment, "production")["generation"], 2);
}

#[tokio::test]
async fn the_status_shows_the_generation_in_force_and_the_lagging_instances() {
    let deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    let arguments =
        to_strings(&["status", "--json", "--environment", "trial", "--platform-url", &platform]);
    let read = || async {
        let output = run_command(arguments.clone()).await;
        serde_json::from_slice::<serde_json::Value>(&output.stdout).ok()
    };
    let status = eventually(|| async {
        let status = read().await?;
        let instances = status["seen"]["instances"].as_array()?;
        (instances.len() == 3 && status["in_force_everywhere"] == true).then_some(status)
    });
    let status = status.await.expect("all instances have the generation in force");
    assert_eq!((&status["accepted"], &status["laggards"]), (&1.into(), &serde_json::json!([])));
    // No instance can apply this generation, so that all of them lag.
    write_config_head(&deployment, r#"{"generation":2,"document":"environment = \"production\""}"#)
        .await;
    let status = read().await.expect("the status is valid JSON");
    assert_eq!((&status["accepted"], &status["in_force_everywhere"]), (&2.into(), &false.into()));
    assert_eq!(status["laggards"].as_array().map(Vec::len), Some(3));
    let writes = deployment.platform.stats().puts;
    println!("{writes} writes so far");
}
