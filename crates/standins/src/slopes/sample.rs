//! What instances cost over a span, per instance.

use std::time::Instant;

use serde::Serialize;

use crate::{
    deployment::Deployment,
    platform::Stats,
    process::{cpu_seconds, resident_mb},
};

/// The cost of one instance on average.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Sample {
    /// The share of one core.
    core_percent: f64,
    /// Resident memory.
    memory_mb: f64,
    /// Calls to the platform each second.
    platform_calls_per_s: f64,
    /// Bytes of bodies from and to the platform each second.
    platform_bytes_per_s: f64,
}

/// A quantity's name and how to read it.
type Quantity = (&'static str, fn(&Sample) -> f64);

impl Sample {
    /// The quantities by name.
    pub(super) const QUANTITIES: [Quantity; 4] = [
        ("core_percent", |sample| sample.core_percent),
        ("memory_mb", |sample| sample.memory_mb),
        ("platform_calls_per_s", |sample| sample.platform_calls_per_s),
        ("platform_bytes_per_s", |sample| sample.platform_bytes_per_s),
    ];
}

/// Takes a sample over a span.
#[derive(Debug)]
pub(super) struct Sampler {
    started: Instant,
    processor_s: f64,
    book: Stats,
}

impl Sampler {
    pub(super) fn start(deployment: &Deployment) -> Self {
        Self {
            started: Instant::now(),
            processor_s: processor_s(deployment),
            book: deployment.platform.stats(),
        }
    }

    pub(super) fn finish(self, deployment: &Deployment) -> Sample {
        let instances = deployment.instances.len() as f64;
        let per_instance_s = self.started.elapsed().as_secs_f64() * instances;
        let book = deployment.platform.stats();
        let memory_mb =
            deployment.instances.iter().map(|instance| resident_mb(instance.id())).sum::<f64>();
        Sample {
            core_percent: 100.0 * (processor_s(deployment) - self.processor_s) / per_instance_s,
            memory_mb: memory_mb / instances,
            platform_calls_per_s: (book.calls() - self.book.calls()) as f64 / per_instance_s,
            platform_bytes_per_s: (book.bytes - self.book.bytes) as f64 / per_instance_s,
        }
    }
}

fn processor_s(deployment: &Deployment) -> f64 {
    deployment.instances.iter().map(|instance| cpu_seconds(instance.id())).sum()
}
