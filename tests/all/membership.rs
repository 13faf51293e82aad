//! Members and leaving endpoints, with real instances.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::InstanceState;
use bilberryford_standins::{
    load::Outcome,
    platform,
    service::{Faults, Service},
};
use bilberryford_types::{Event, EventKind};
use rstest::rstest;

use crate::support::{Deployment, KEY, eventually, fast_engine, loopback};

/// How soon a leaving endpoint is known to all.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn is_leaving(endpoint: &'static str) -> impl Fn(&Event) -> bool {
    move |event| {
        event.kind == EventKind::Leaving
            && event.endpoint.as_ref().is_some_and(|found| found.as_str() == endpoint)
    }
}

fn is_about(kind: EventKind, instance: &'static str) -> impl Fn(&Event) -> bool {
    move |event| event.kind == kind && event.detail == format!("instance {instance}")
}

async fn with_two_services(instances: usize) -> Deployment {
    let mut deployment = Deployment::start(instances, &fast_engine()).await.unwrap();
    let service = Arc::new(Service::default());
    let host = service.host(loopback()).unwrap();
    deployment.services.push((service, host));
    deployment.publish();
    deployment.wait_ready().await.unwrap();
    deployment
}

async fn look_up(deployment: &Deployment, instance: usize) -> Option<u16> {
    let url = format!("{}/services/desk/stock/tins", deployment.url(instance));
    let request = deployment.client.get(url).bearer_auth(KEY);
    let request = request.header("bilberryford-timeout-ms", 2_000);
    Some(request.send().await.ok()?.status().as_u16())
}

/// A platform that takes connections and never answers, and its URL.
async fn silent_platform() -> (tokio::net::TcpListener, String) {
    let silent = tokio::net::TcpListener::bind(loopback()).await.unwrap();
    let url = format!("http://{}", silent.local_addr().unwrap());
    (silent, url)
}

#[rstest]
#[case::list_frozen(platform::Faults { list_frozen: true, ..Default::default() })]
#[case::platform_out(platform::Faults { outage: true, ..Default::default() })]
#[tokio::test]
async fn an_endpoint_that_says_it_is_leaving_is_known_to_all_soon(
    #[case] faults: platform::Faults,
) {
    let deployment = with_two_services(9).await;
    let all: Vec<_> = (0..9).collect();
    deployment.all_have(&all, |event| event.kind == EventKind::Joined).await.expect("a peer");
    deployment.platform.set_faults(faults);
    deployment.services[0].0.set_faults(Faults { draining: true, ..Default::default() });
    eventually(|| async {
        look_up(&deployment, 0).await?;
        deployment.events(0).await.iter().any(is_leaving("desk-1")).then_some(())
    })
    .await
    .expect("the endpoint says that it is leaving");
    let took = deployment.all_have(&all, is_leaving("desk-1")).await.expect("all know");
    println!("known to all 9 instances after {} ms", took.as_millis());
    assert!(took <= LEAVING_LIMIT, "took {took:?}");
    // The sign is gone, but nobody sends work there again.
    deployment.services[0].0.set_faults(Faults::default());
    let before = deployment.services[0].0.stats().lookups;
    for instance in all.iter().cycle().take(36) {
        assert_eq!(look_up(&deployment, *instance).await, Some(200));
    }
    assert_eq!(deployment.services[0].0.stats().lookups, before);
}

#[tokio::test]
async fn a_list_that_is_empty_after_an_outage_does_not_empty_the_table() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    deployment.platform.set_faults(platform::Faults { outage: true, ..Default::default() });
    let before = deployment.platform.stats().instances;
    eventually(|| async { (deployment.platform.stats().instances > before + 4).then_some(()) })
        .await
        .expect("the list is asked for");
    deployment.platform.set_instances(Vec::new());
    deployment.platform.set_faults(platform::Faults::default());
    // Longer than a single row would be kept.
    let before = deployment.platform.stats().instances;
    eventually(|| async { (deployment.platform.stats().instances > before + 20).then_some(()) })
        .await
        .expect("the empty list is read");
    for instance in 0..2 {
        let url = deployment.url(instance);
        let seen = deployment.caller().prompt(&url, "assistant", "still there?", 20, false).await;
        assert_eq!(seen.outcome, Outcome::Complete);
    }
}

#[tokio::test]
async fn a_dead_instance_is_taken_for_failed_by_all_and_a_live_one_by_none() {
    let mut deployment = Deployment::start(5, &fast_engine()).await.unwrap();
    deployment.all_have(&[0, 1, 2, 3], is_about(EventKind::Joined, "entry-5")).await.unwrap();
    deployment.platform.set_faults(platform::Faults { list_frozen: true, ..Default::default() });
    deployment.instances.remove(4).kill();
    let took = deployment.all_have(&[0, 1, 2, 3], is_about(EventKind::Failed, "entry-5")).await;
    println!("failed everywhere after {} ms", took.expect("all know").as_millis());
    for instance in 0..4 {
        let events = deployment.events(instance).await;
        let failed: Vec<_> =
            events.iter().filter(|event| event.kind == EventKind::Failed).collect();
        assert_eq!(failed.len(), 1, "{failed:?}");
    }
}

#[tokio::test]
async fn members_spread_from_one_seed_without_the_list() {
    let mut deployment = Deployment::start(4, &fast_engine()).await.unwrap();
    let seed = deployment.instances[0].peer_address.to_string();
    let (_silent, nowhere) = silent_platform().await;
    deployment.add_unlisted_instance("entry-5", &nowhere, &["--peers", &seed]).unwrap();
    deployment.all_have(&[0, 1, 2, 3], is_about(EventKind::Joined, "entry-5")).await.unwrap();
    for peer in ["entry-1", "entry-2", "entry-3", "entry-4"] {
        deployment.all_have(&[4], is_about(EventKind::Joined, peer)).await.unwrap();
    }
}

#[tokio::test]
async fn an_endpoint_that_the_list_calls_leaving_is_known_to_an_instance_that_reads_no_list() {
    let mut deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let list = format!("{}/instances", deployment.platform_host.url());
    let mut body: serde_json::Value =
        deployment.client.get(list).send().await.unwrap().json().await.unwrap();
    // This one reads from a platform that never answers.
    let seed = deployment.instances[0].peer_address.to_string();
    let (_silent, nowhere) = silent_platform().await;
    deployment.add_unlisted_instance("entry-4", &nowhere, &["--peers", &seed]).unwrap();
    deployment.all_have(&[3], is_about(EventKind::Joined, "entry-1")).await.unwrap();
    // It has the endpoints and the configuration from its peers.
    deployment.wait_ready().await.unwrap();
    let row = body["instances"].as_array_mut().unwrap().iter_mut();
    row.filter(|row| row["id"] == "engine-1").for_each(|row| {
        row["state"] = serde_json::to_value(InstanceState::Leaving).unwrap();
    });
    let rows = serde_json::from_value(body["instances"].clone()).unwrap();
    deployment.platform.set_instances(rows);
    let took = deployment.all_have(&[0, 1, 2, 3], is_leaving("engine-1")).await.unwrap();
    assert!(took <= LEAVING_LIMIT, "took {took:?}");
}
