//! Tests of the test deployment: tests that run at the same time never reach each other's processes.

use std::{net::TcpListener, time::Duration};

use tokio::{task::spawn_blocking, time::timeout};

use crate::support::{Deployment, LIMIT, eventually, fast_engine};

/// The platform's port is free for other tests as soon as the platform has stopped.
#[tokio::test]
async fn a_deployment_that_ends_sends_nothing_to_its_former_platform() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let address = deployment.platform_host.address;
    let end = spawn_blocking(move || drop(deployment));
    let listener = eventually(|| async { TcpListener::bind(address).ok() }).await;
    let listener = listener.expect("the platform releases its port");
    listener.set_nonblocking(true).unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    timeout(LIMIT, end).await.expect("the deployment ends within the limit").unwrap();
    let connection = timeout(Duration::from_millis(100), listener.accept()).await;
    assert!(connection.is_err(), "an instance of the deployment connects to its former platform");
}
