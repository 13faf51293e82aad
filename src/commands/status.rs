//! `bilberryford status`: what is accepted, what is in force, and what is wrong.

use bilberryford_node::{StatusObject, config_key, read_config_head, status_key};
use bilberryford_platform::{HttpPlatform, HttpPlatformConfig, ObjectStore};
use bilberryford_types::{EnvironmentName, Generation, InstanceId};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

/// Settings of `status`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// The environment to show
    #[bpaf(long, env("BILBERRYFORD_ENVIRONMENT"), argument("NAME"))]
    environment: EnvironmentName,
    /// The base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
    /// Print one JSON object instead of text
    #[bpaf(long)]
    json: bool,
}

/// What is printed.
#[derive(Debug, Serialize)]
struct Report {
    environment: EnvironmentName,
    /// The generation that is accepted on the platform.
    accepted: Generation,
    /// Whether every instance that is not failed has it in force.
    in_force_everywhere: bool,
    /// Instances below it.
    laggards: Vec<InstanceId>,
    /// What the instances see; none when no instance has written it yet.
    seen: Option<StatusObject>,
}

/// Prints the status.
pub(crate) fn run(options: &Options) -> Result<()> {
    let report = super::block_on(read(options))?;
    if options.json {
        println!("{}", serde_json::to_string(&report).into_diagnostic()?);
    } else {
        print(&report);
    }
    Ok(())
}

async fn read(options: &Options) -> Result<Report> {
    let config = HttpPlatformConfig::new(options.platform_url.clone());
    let platform = HttpPlatform::new(config).into_diagnostic()?;
    let environment = options.environment.clone();
    let head_key = config_key(&environment).into_diagnostic()?;
    let accepted = read_config_head(&platform, &head_key).await.into_diagnostic()?.generation();
    let status = platform.get(&status_key(&environment).into_diagnostic()?).await;
    let seen: Option<StatusObject> = status
        .into_diagnostic()?
        .map(|object| serde_json::from_slice(&object.body))
        .transpose()
        .into_diagnostic()?;
    let laggards: Vec<_> = seen
        .iter()
        .flat_map(|seen| seen.view.laggards(accepted))
        .map(|instance| instance.instance.clone())
        .collect();
    let in_force_everywhere = seen.is_some() && laggards.is_empty();
    Ok(Report { environment, accepted, in_force_everywhere, laggards, seen })
}

fn print(report: &Report) {
    println!("{}: generation {} accepted", report.environment, report.accepted);
    let Some(seen) = &report.seen else {
        println!("no instance has written a status yet");
        return;
    };
    match (report.in_force_everywhere, report.laggards.len()) {
        (true, _) => println!("in force everywhere"),
        (false, count) => println!("not yet in force on {count} instance(s)"),
    }
    println!("generation {} in force", seen.view.generation);
    println!("seen by {} at {}", seen.written_by, seen.written_ms);
    for instance in &seen.view.instances {
        let mark = if report.laggards.contains(&instance.instance) { "  behind" } else { "" };
        println!(
            "  {} ({}) {} generation {}{mark}",
            instance.instance, instance.data_centre, instance.state, instance.generation
        );
    }
    for pool in &seen.view.pools {
        let leaving: Vec<_> = pool.leaving.iter().map(ToString::to_string).collect();
        println!("  pool {}: {} live, leaving: [{}]", pool.pool, pool.live, leaving.join(", "));
    }
    for roll_out in seen.view.roll_outs.iter().flatten() {
        println!(
            "  roll-out of {} {}: {} of {}",
            roll_out.model, roll_out.weight_version, roll_out.done, roll_out.wanted
        );
    }
    for order in seen.view.orders_in_doubt.iter().flatten() {
        println!("  order in doubt: {} of {}", order.order, order.team);
    }
    if let Some(quarantined) = seen.view.quarantined {
        println!("  quarantined requests: {quarantined}");
    }
}
