//! Commands that load and measure bilberryford against stand-ins.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use bilberryford_standins::{
    demo,
    engine::{Engine, EngineSpec},
    faults, heartbeats,
    host::ServerHandle,
    orders, overhead,
    platform::Platform,
    returning::{self, DecisionScope, Site},
    service::Service,
    slopes,
};
use bpaf::Bpaf;

/// Stand-ins for the outside systems, and load and measurement commands.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Options {
    /// Runs the whole path as separate processes and prints a report
    #[bpaf(command)]
    Demo {
        /// End with one line of JSON
        json: bool,
        /// Leave everything running until Ctrl-C
        keep: bool,
    },
    /// Runs one stand-in until the process is killed
    #[bpaf(command("stand-in"))]
    StandIn {
        /// The address to listen on
        #[bpaf(argument("ADDRESS"), fallback(([127, 0, 0, 1], 0).into()))]
        listen: SocketAddr,
        /// The system to stand in for: platform, engine or service
        #[bpaf(positional("WHAT"))]
        what: StandInKind,
    },
    /// Runs both deployments under load and faults and checks every property
    #[bpaf(command)]
    Faults {
        /// Seed of the random choice of faults and load
        #[bpaf(argument("SEED"), fallback(1), display_fallback)]
        seed: u64,
        /// How long faults are injected
        #[bpaf(argument("SECONDS"), fallback(60), display_fallback)]
        seconds: u64,
        /// Inject only this fault, by name; may be given several times
        #[bpaf(argument("FAULT"), many)]
        only: Vec<faults::Fault>,
        /// End with one line of JSON
        json: bool,
    },
    /// Runs one measurement
    #[bpaf(command)]
    Measure(#[bpaf(external(measure))] Measure),
}

#[derive(Debug, Clone, Bpaf)]
enum Measure {
    /// The latency that an instance adds between caller and engine
    #[bpaf(command)]
    Overhead {
        /// Print one line of JSON
        json: bool,
    },
    /// Platform calls per order, by layout and rate
    #[bpaf(command)]
    Orders {
        /// Print one line of JSON
        json: bool,
    },
    /// The growth of an instance's cost along one axis of load
    #[bpaf(command)]
    Slopes {
        /// Measure only this axis: instances, endpoints, teams, changes or prompts; may be given several times
        #[bpaf(argument("AXIS"), many)]
        axis: Vec<slopes::Axis>,
        /// Print lines of JSON
        json: bool,
    },
    /// Placement of requests with cached context, by policy and fault
    #[bpaf(command)]
    Returning {
        /// The site: gebhartl or gallagher
        #[bpaf(argument("SITE"))]
        deployment: Site,
        /// The component that decides placement: instance or cell
        #[bpaf(argument("WHO"), fallback(DecisionScope::Pool))]
        deciding: DecisionScope,
        /// Seed of arrivals and random choices
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Print lines of JSON
        json: bool,
    },
    /// Traffic of instances with each other and with the platform
    #[bpaf(command)]
    Heartbeats {
        /// Number of instances; may be given several times
        #[bpaf(argument("COUNT"), some("at least one --members is needed"))]
        members: Vec<usize>,
        /// Duration of each measurement
        #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
        seconds: u64,
        /// Accepted configuration changes per second
        #[bpaf(argument("RATE"), fallback(0.0), display_fallback)]
        changes_per_s: f64,
    },
}

#[derive(Debug, Clone, Copy, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
enum StandInKind {
    Platform,
    Engine,
    Service,
}

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let result = match options().run() {
        Options::Demo { json, keep } => runtime.block_on(demo::run(json, keep)),
        Options::Faults { seed, seconds, only, json } => {
            let duration = Duration::from_secs(seconds);
            runtime.block_on(faults::run(&faults::Options { seed, duration, only, json }))
        }
        Options::StandIn { listen, what } => stand_in(listen, what),
        Options::Measure(Measure::Slopes { axis, json }) => {
            runtime.block_on(slopes::run(&axis, json)).map(|()| true)
        }
        Options::Measure(Measure::Heartbeats { members, seconds, changes_per_s }) => {
            let duration = Duration::from_secs(seconds);
            let options = heartbeats::Options { members, duration, changes_per_s };
            runtime.block_on(heartbeats::run(&options)).map(|()| true)
        }
        Options::Measure(Measure::Orders { json }) => {
            runtime.block_on(orders::run(json)).map(|()| true)
        }
        Options::Measure(Measure::Overhead { json }) => {
            runtime.block_on(overhead::run(json)).map(|()| true)
        }
        Options::Measure(Measure::Returning { deployment, deciding, seed, json }) => {
            returning::run(deployment, deciding, seed, json)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(&error),
    }
}

fn fail(error: &std::io::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

fn stand_in(listen: SocketAddr, what: StandInKind) -> std::io::Result<bool> {
    let server: ServerHandle = match what {
        StandInKind::Platform => Arc::new(Platform::default()).host(listen)?,
        StandInKind::Engine => {
            Engine::new(EngineSpec::new("v1".parse().map_err(std::io::Error::other)?))
                .host(listen)?
        }
        StandInKind::Service => Arc::new(Service::default()).host(listen)?,
    };
    println!("listening http={}", server.address);
    loop {
        std::thread::park();
    }
}
