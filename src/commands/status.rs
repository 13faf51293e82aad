//! `bilberryford status`: shows the accepted configuration, the configuration in force and current problems.

use bilberryford_node::{StatusObject, config_key, read_config_head, status_key};
use bilberryford_platform::{HttpPlatform, HttpPlatformConfig, ObjectStore};
use bilberryford_types::{EnvironmentName, Generation, InstanceId};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

/// Options of `status`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Environment to show
    #[bpaf(long, env("BILBERRYFORD_ENVIRONMENT"), argument("NAME"))]
    environment: EnvironmentName,
    /// Base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
    /// Print a JSON object instead of text
    #[bpaf(long)]
    json: bool,
}

/// The status of an environment, as printed.
#[derive(Debug, Serialize)]
struct StatusReport {
    environment: EnvironmentName,
    /// The generation that is accepted on the platform.
    accepted: Generation,
    /// True if every instance that has not failed has the accepted generation in force.
    in_force_everywhere: bool,
    /// The instances with a lower generation in force.
    laggards: Vec<InstanceId>,
    /// The status that an instance wrote to the platform; `None` if none has written it yet.
    #[serde(rename = "seen")]
    status: Option<StatusObject>,
}

/// Prints the status of the environment.
pub(crate) fn run(options: &Options) -> Result<()> {
    let report = super::block_on(read_report(options))?;
    if options.json {
        println!("{}", serde_json::to_string(&report).into_diagnostic()?);
    } else {
        print_report(&report);
    }
    Ok(())
}

async fn read_report(options: &Options) -> Result<StatusReport> {
    let config = HttpPlatformConfig::new(options.platform_url.clone());
    let platform = HttpPlatform::new(config).into_diagnostic()?;
    let environment = options.environment.clone();
    let head_key = config_key(&environment).into_diagnostic()?;
    let accepted = read_config_head(&platform, &head_key).await.into_diagnostic()?.generation();
    let object = platform.get(&status_key(&environment).into_diagnostic()?).await;
    let status: Option<StatusObject> = object
        .into_diagnostic()?
        .map(|object| serde_json::from_slice(&object.body))
        .transpose()
        .into_diagnostic()?;
    let laggards: Vec<_> = status
        .iter()
        .flat_map(|status| status.view.laggards(accepted))
        .map(|instance| instance.instance.clone())
        .collect();
    let in_force_everywhere = status.is_some() && laggards.is_empty();
    Ok(StatusReport { environment, accepted, in_force_everywhere, laggards, status })
}

fn print_report(report: &StatusReport) {
    println!("{}: generation {} accepted", report.environment, report.accepted);
    let Some(status) = &report.status else {
        println!("no instance has written a status yet");
        return;
    };
    match (report.in_force_everywhere, report.laggards.len()) {
        (true, _) => println!("in force everywhere"),
        (false, count) => println!("not yet in force on {count} instance(s)"),
    }
    println!("generation {} in force", status.view.generation);
    println!("seen by {} at {}", status.written_by, status.written_ms);
    for instance in &status.view.instances {
        let mark = if report.laggards.contains(&instance.instance) { "  behind" } else { "" };
        println!(
            "  {} ({}) {} generation {}{mark}",
            instance.instance, instance.data_centre, instance.state, instance.generation
        );
    }
    for pool in &status.view.pools {
        let leaving: Vec<_> = pool.leaving.iter().map(ToString::to_string).collect();
        println!("  pool {}: {} live, leaving: [{}]", pool.pool, pool.live, leaving.join(", "));
    }
    for roll_out in status.view.roll_outs.iter().flatten() {
        println!(
            "  roll-out of {} {}: {} of {}",
            roll_out.model, roll_out.weight_version, roll_out.done, roll_out.wanted
        );
    }
    for order in status.view.orders_in_doubt.iter().flatten() {
        println!("  order in doubt: {} of {}", order.order, order.team);
    }
    if let Some(quarantined) = status.view.quarantined {
        println!("  quarantined requests: {quarantined}");
    }
}
