//! Samples the cost of a deployment's instances over a period, as an average per instance.

use std::time::Instant;

use serde::Serialize;

use crate::{
    deployment::Deployment,
    platform::Stats,
    process::{cpu_seconds, resident_mb},
};

/// The average cost of one instance.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Sample {
    /// CPU time as a percentage of one core.
    core_percent: f64,
    /// Resident memory.
    memory_mb: f64,
    /// Calls to the platform per second.
    platform_calls_per_s: f64,
    /// Bytes of bodies to and from the platform per second.
    platform_bytes_per_s: f64,
}

/// A quantity's name and its accessor.
type Quantity = (&'static str, fn(&Sample) -> f64);

impl Sample {
    /// All quantities with their names.
    pub(super) const QUANTITIES: [Quantity; 4] = [
        ("core_percent", |sample| sample.core_percent),
        ("memory_mb", |sample| sample.memory_mb),
        ("platform_calls_per_s", |sample| sample.platform_calls_per_s),
        ("platform_bytes_per_s", |sample| sample.platform_bytes_per_s),
    ];
}

/// The counters at the start of a sample.
#[derive(Debug)]
pub(super) struct Sampler {
    started: Instant,
    cpu_s: f64,
    platform_stats: Stats,
}

impl Sampler {
    pub(super) fn start(deployment: &Deployment) -> Self {
        Self {
            started: Instant::now(),
            cpu_s: cpu_s(deployment),
            platform_stats: deployment.platform.stats(),
        }
    }

    pub(super) fn finish(self, deployment: &Deployment) -> Sample {
        let instances = deployment.instances.len() as f64;
        let per_instance_s = self.started.elapsed().as_secs_f64() * instances;
        let platform_stats = deployment.platform.stats();
        let memory_mb =
            deployment.instances.iter().map(|instance| resident_mb(instance.id())).sum::<f64>();
        Sample {
            core_percent: 100.0 * (cpu_s(deployment) - self.cpu_s) / per_instance_s,
            memory_mb: memory_mb / instances,
            platform_calls_per_s: (platform_stats.calls() - self.platform_stats.calls()) as f64
                / per_instance_s,
            platform_bytes_per_s: (platform_stats.bytes - self.platform_stats.bytes) as f64
                / per_instance_s,
        }
    }
}

fn cpu_s(deployment: &Deployment) -> f64 {
    deployment.instances.iter().map(|instance| cpu_seconds(instance.id())).sum()
}
