//! Membership of instances and propagation of leaving endpoints.

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

/// Longest time until all instances know that an endpoint is leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn is_leaving(endpoint: &'static str) -> impl Fn(&Event) -> bool {
    move |event| {
        event.kind == EventKind::Leaving
            && event.endpoint.as_ref().is_some_and(|found| found.as_str() == endpoint)
    }
}

fn concerns_instance(kind: EventKind, instance: &'static str) -> impl Fn(&Event) -> bool {
    move |event| event.kind == kind && event.detail == format!("instance {instance}")
}

async fn start_with_two_services(instances: usize) -> Deployment {
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

/// Returns a platform that accepts connections and never responds, with its URL.
async fn unresponsive_platform() -> (tokio::net::TcpListener, String) {
    let listener = tokio::net::TcpListener::bind(loopback()).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    (listener, url)
}

#[rstest]
#[case::list_frozen(platform::Faults { list_frozen: true, ..Default::default() })]
#[case::platform_out(platform::Faults { outage: true, ..Default::default() })]
#[tokio::test]
async fn a_draining_endpoint_is_known_to_all_instances_within_the_limit(
    #[case] faults: platform::Faults,
) {
    let deployment = start_with_two_services(9).await;
    let all: Vec<_> = (0..9).collect();
    deployment
        .all_have_event(&all, |event| event.kind == EventKind::Joined)
        .await
        .expect("each instance has joined a peer");
    deployment.platform.set_faults(faults);
    deployment.services[0].0.set_faults(Faults { draining: true, ..Default::default() });
    eventually(|| async {
        look_up(&deployment, 0).await?;
        deployment.events(0).await.iter().any(is_leaving("desk-1")).then_some(())
    })
    .await
    .expect("the first instance learns from the endpoint that it is leaving");
    let took = deployment
        .all_have_event(&all, is_leaving("desk-1"))
        .await
        .expect("every instance records the event within the limit");
    println!("known to all 9 instances after {} ms", took.as_millis());
    assert!(took <= LEAVING_LIMIT, "took {took:?}");
    // The endpoint no longer reports that it drains, but no instance may send requests to it again.
    deployment.services[0].0.set_faults(Faults::default());
    let count_before = deployment.services[0].0.stats().lookups;
    for instance in all.iter().cycle().take(36) {
        assert_eq!(look_up(&deployment, *instance).await, Some(200));
    }
    assert_eq!(deployment.services[0].0.stats().lookups, count_before);
}

#[tokio::test]
async fn an_empty_instance_list_after_an_outage_does_not_clear_the_endpoint_table() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    deployment.platform.set_faults(platform::Faults { outage: true, ..Default::default() });
    let count_before = deployment.platform.stats().instances;
    eventually(|| async {
        (deployment.platform.stats().instances > count_before + 4).then_some(())
    })
    .await
    .expect("the instances poll the list during the outage");
    deployment.platform.set_instances(Vec::new());
    deployment.platform.set_faults(platform::Faults::default());
    // Polls often enough that a single missing row would have been dropped.
    let count_before = deployment.platform.stats().instances;
    eventually(|| async {
        (deployment.platform.stats().instances > count_before + 20).then_some(())
    })
    .await
    .expect("the instances read the empty list");
    for instance in 0..2 {
        let url = deployment.url(instance);
        let result = deployment.caller().prompt(&url, "assistant", "still there?", 20, false).await;
        assert_eq!(result.outcome, Outcome::Complete);
    }
}

#[tokio::test]
async fn only_the_killed_instance_is_detected_as_failed_by_every_peer() {
    let mut deployment = Deployment::start(5, &fast_engine()).await.unwrap();
    deployment
        .all_have_event(&[0, 1, 2, 3], concerns_instance(EventKind::Joined, "entry-5"))
        .await
        .unwrap();
    deployment.platform.set_faults(platform::Faults { list_frozen: true, ..Default::default() });
    deployment.instances.remove(4).kill();
    let took = deployment
        .all_have_event(&[0, 1, 2, 3], concerns_instance(EventKind::Failed, "entry-5"))
        .await;
    println!(
        "failed everywhere after {} ms",
        took.expect("every instance records the event within the limit").as_millis()
    );
    for instance in 0..4 {
        let events = deployment.events(instance).await;
        let failed: Vec<_> =
            events.iter().filter(|event| event.kind == EventKind::Failed).collect();
        assert_eq!(failed.len(), 1, "{failed:?}");
    }
}

#[tokio::test]
async fn membership_spreads_from_one_seed_without_the_instance_list() {
    let mut deployment = Deployment::start(4, &fast_engine()).await.unwrap();
    let seed = deployment.instances[0].peer_address.to_string();
    let (_listener, unresponsive_url) = unresponsive_platform().await;
    deployment.add_unlisted_instance("entry-5", &unresponsive_url, &["--peers", &seed]).unwrap();
    deployment
        .all_have_event(&[0, 1, 2, 3], concerns_instance(EventKind::Joined, "entry-5"))
        .await
        .unwrap();
    for peer in ["entry-1", "entry-2", "entry-3", "entry-4"] {
        deployment.all_have_event(&[4], concerns_instance(EventKind::Joined, peer)).await.unwrap();
    }
}

#[tokio::test]
async fn a_leaving_endpoint_of_the_list_reaches_an_instance_without_the_platform() {
    let mut deployment = Deployment::start(3, &fast_engine()).await.unwrap();
    let list = format!("{}/instances", deployment.platform_host.url());
    let mut body: serde_json::Value =
        deployment.client.get(list).send().await.unwrap().json().await.unwrap();
    // The fourth instance reads from a platform that never responds.
    let seed = deployment.instances[0].peer_address.to_string();
    let (_listener, unresponsive_url) = unresponsive_platform().await;
    deployment.add_unlisted_instance("entry-4", &unresponsive_url, &["--peers", &seed]).unwrap();
    deployment.all_have_event(&[3], concerns_instance(EventKind::Joined, "entry-1")).await.unwrap();
    // It gets the endpoints and the configuration from its peers.
    deployment.wait_ready().await.unwrap();
    let row = body["instances"].as_array_mut().unwrap().iter_mut();
    row.filter(|row| row["id"] == "engine-1").for_each(|row| {
        row["state"] = serde_json::to_value(InstanceState::Leaving).unwrap();
    });
    let rows = serde_json::from_value(body["instances"].clone()).unwrap();
    deployment.platform.set_instances(rows);
    let took = deployment.all_have_event(&[0, 1, 2, 3], is_leaving("engine-1")).await.unwrap();
    assert!(took <= LEAVING_LIMIT, "took {took:?}");
}
