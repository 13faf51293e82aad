//! The cases.

pub mod blame;

pub mod grace;
pub mod revoked;
pub mod silence;
pub mod window;

use std::time::Duration;

use crate::{
    Setup,
    gateway::{Bounds, Gateway},
};

/// A configuration with one tenant, its key and these routes and services, each a JSON object.
pub fn configuration(version: u64, routes: &[String], services: &[String]) -> String {
    configuration_with_keys(version, routes, services, &["key-1"])
}

/// The same with these keys of the tenant.
pub fn configuration_with_keys(
    version: u64,
    routes: &[String],
    services: &[String],
    keys: &[&str],
) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"tenant-1\",\"ApiKeys\":[{}],\"Priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

pub fn plain_service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false}}"
    )
}

pub fn engine_service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":64,\"KvCapacity\":89186,\"KvTokenBytes\":18432,\"LinkMbps\":550000.0,\"MaxConcurrency\":12,\"Models\":[{{\"Name\":\"model-1\"}}]}}}}"
    )
}

/// Starts instances and waits until all are ready.
pub fn start_gateways(
    setup: &Setup,
    count: u8,
    store: std::net::SocketAddr,
    bounds: Bounds,
) -> Result<Vec<Gateway>, Box<dyn std::error::Error>> {
    let mut gateways = Vec::new();
    for index in 0..count {
        let mut gateway = Gateway::new(index, store, &setup.temporary)?;
        gateway.write_settings(bounds)?;
        gateway.start()?;
        gateways.push(gateway);
    }
    for gateway in &gateways {
        if !gateway.wait_until_ready(Duration::from_secs(10)) {
            let path = setup.temporary.join(format!("{}.log", gateway.name));
            for line in std::fs::read_to_string(path).unwrap_or_default().lines() {
                setup.record.line(format!("{}: {line}", gateway.name));
            }
            return Err(format!("{} did not become ready", gateway.name).into());
        }
        setup.record.line(format!("{} is ready at {}", gateway.name, gateway.front));
    }
    Ok(gateways)
}
