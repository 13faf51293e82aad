//! `bilberryford serve`: runs an entry instance.

use std::{
    io::Write,
    net::{AddrParseError, SocketAddr},
    str::FromStr,
};

use bilberryford_node::NodeSettings;
use bilberryford_types::{DataCentreId, EnvironmentName, InstanceId, TimeMs};
use bpaf::Bpaf;
use logforth::{
    append::Stderr,
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};
use miette::{IntoDiagnostic, WrapErr, miette};
use tokio::signal::unix::{SignalKind, signal};

use crate::settings::in_range;

/// The environment variable with the run key, which is read if the flag is absent.
const RUN_KEY_VARIABLE: &str = "BILBERRYFORD_RUN_KEY";

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// A comma-separated list of peer addresses.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerList(Vec<SocketAddr>);

impl FromStr for PeerList {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        let addresses = text.split(',').map(str::trim).filter(|address| !address.is_empty());
        addresses.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Options of `serve`.
///
/// The environment variable of the run key is not declared to `bpaf`, because its help would show the secret.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Name of this instance, unique in the deployment
    #[bpaf(long, env("BILBERRYFORD_INSTANCE"), argument("NAME"))]
    instance: InstanceId,
    /// Data centre of this instance
    #[bpaf(long, env("BILBERRYFORD_DATA_CENTRE"), argument("NAME"))]
    data_centre: DataCentreId,
    /// Environment to serve
    #[bpaf(long, env("BILBERRYFORD_ENVIRONMENT"), argument("NAME"))]
    environment: EnvironmentName,
    /// Listen address for callers; port 0 chooses a free port
    #[bpaf(long, env("BILBERRYFORD_LISTEN"), argument("ADDRESS"), fallback(([127, 0, 0, 1], 8080).into()), display_fallback)]
    listen: SocketAddr,
    /// Listen address for peers; port 0 chooses a free port
    #[bpaf(long, env("BILBERRYFORD_PEER_LISTEN"), argument("ADDRESS"), fallback(([127, 0, 0, 1], 8081).into()), display_fallback)]
    peer_listen: SocketAddr,
    /// Comma-separated addresses of peers in addition to the platform's list, such as 10.0.0.1:8081,10.0.0.2:8081
    #[bpaf(long, env("BILBERRYFORD_PEERS"), argument("ADDRESSES"), fallback(PeerList::default()))]
    peers: PeerList,
    /// Base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
    /// Timeout of a call to the platform, in milliseconds
    #[bpaf(
        long,
        env("BILBERRYFORD_PLATFORM_TIMEOUT_MS"),
        argument("MS"),
        fallback(1_000),
        display_fallback
    )]
    platform_timeout_ms: u64,
    /// Secret that signs run ids: at least 16 characters, the same on all instances; read from BILBERRYFORD_RUN_KEY if
    /// the flag is absent
    #[bpaf(long, argument("SECRET"), fallback_with(run_key_variable))]
    run_key: String,
    /// Maximum size of a request body, in bytes
    #[bpaf(
        long,
        env("BILBERRYFORD_MAX_BODY_BYTES"),
        argument("BYTES"),
        fallback(4_194_304),
        display_fallback
    )]
    max_body_bytes: usize,
    /// Maximum deadline that a caller may request, in milliseconds
    #[bpaf(
        long,
        env("BILBERRYFORD_MAX_DEADLINE_MS"),
        argument("MS"),
        fallback(600_000),
        display_fallback
    )]
    max_deadline_ms: u64,
    /// Maximum number of requests in flight on this instance
    #[bpaf(
        long,
        env("BILBERRYFORD_MAX_IN_FLIGHT"),
        argument("COUNT"),
        fallback(4_096),
        display_fallback
    )]
    max_in_flight: u32,
    /// Time at shutdown in which the instance still serves requests but reports that it is not ready, so that load
    /// balancers remove it, in milliseconds
    #[bpaf(
        long,
        env("BILBERRYFORD_DRAIN_DELAY_MS"),
        argument("MS"),
        fallback(3_000),
        display_fallback
    )]
    drain_delay_ms: u64,
    /// Maximum wait for running requests at shutdown, in milliseconds
    #[bpaf(
        long,
        env("BILBERRYFORD_DRAIN_LIMIT_MS"),
        argument("MS"),
        fallback(600_000),
        display_fallback
    )]
    drain_limit_ms: u64,
    /// Time after which a run is cancelled if no caller reads it, in milliseconds
    #[bpaf(
        long,
        env("BILBERRYFORD_PICK_UP_LIMIT_MS"),
        argument("MS"),
        fallback(30_000),
        display_fallback
    )]
    pick_up_limit_ms: u64,
    /// Maximum time from the write of an order's intent to its dispatch, in milliseconds
    #[bpaf(
        long,
        env("BILBERRYFORD_ORDER_DISPATCH_MS"),
        argument("MS"),
        fallback(5_000),
        display_fallback
    )]
    order_dispatch_ms: u64,
    /// Retention period of an order's record, in seconds; the same on all instances
    #[bpaf(
        long,
        env("BILBERRYFORD_ORDER_RETENTION_S"),
        argument("SECONDS"),
        fallback(86_400),
        display_fallback
    )]
    order_retention_s: u64,
    /// Number of threads that serve requests
    #[bpaf(
        long,
        env("BILBERRYFORD_WORKER_THREADS"),
        argument("COUNT"),
        fallback(4),
        display_fallback
    )]
    worker_threads: usize,
    /// Format of log lines: json or text
    #[bpaf(
        long,
        env("BILBERRYFORD_LOG_FORMAT"),
        argument("FORMAT"),
        fallback(LogFormat::Text),
        display_fallback
    )]
    log_format: LogFormat,
    /// Minimum severity of log lines: error, warn (default), info or debug; timeline events need info
    #[bpaf(long, env("BILBERRYFORD_LOG_LEVEL"), argument("LEVEL"), fallback(Level::Warn))]
    log_level: Level,
}

/// Reads the run key from its environment variable.
fn run_key_variable() -> Result<String, &'static str> {
    std::env::var(RUN_KEY_VARIABLE).map_err(|_| "expected --run-key=SECRET or BILBERRYFORD_RUN_KEY")
}

impl Options {
    /// Converts the options to settings.
    ///
    /// # Errors
    ///
    /// An option is outside its range.
    fn into_settings(self) -> miette::Result<NodeSettings> {
        if self.run_key.len() < 16 {
            return Err(miette!(
                "--run-key has {} characters, at least 16 are needed",
                self.run_key.len()
            ));
        }
        if !self.platform_url.starts_with("http://") {
            return Err(miette!(
                "--platform-url is {:?}, which does not start with http://",
                self.platform_url
            ));
        }
        Ok(NodeSettings {
            instance: self.instance,
            data_centre: self.data_centre,
            environment: self.environment,
            listen: self.listen,
            peer_listen: self.peer_listen,
            peers: self.peers.0,
            platform_url: self.platform_url,
            platform_timeout: TimeMs(in_range(
                "platform-timeout-ms",
                self.platform_timeout_ms,
                &(10..=60_000),
            )?),
            run_key: self.run_key,
            max_body_bytes: in_range("max-body-bytes", self.max_body_bytes, &(1_024..=67_108_864))?,
            max_deadline: TimeMs(in_range(
                "max-deadline-ms",
                self.max_deadline_ms,
                &(1_000..=3_600_000),
            )?),
            max_in_flight: in_range("max-in-flight", self.max_in_flight, &(1..=65_536))?,
            drain_delay: TimeMs(in_range("drain-delay-ms", self.drain_delay_ms, &(0..=60_000))?),
            drain_limit: TimeMs(in_range("drain-limit-ms", self.drain_limit_ms, &(0..=3_600_000))?),
            pick_up_limit: TimeMs(in_range(
                "pick-up-limit-ms",
                self.pick_up_limit_ms,
                &(100..=600_000),
            )?),
            order_dispatch: TimeMs(in_range(
                "order-dispatch-ms",
                self.order_dispatch_ms,
                &(100..=60_000),
            )?),
            order_retention: TimeMs(
                1_000 * in_range("order-retention-s", self.order_retention_s, &(1..=30 * 86_400))?,
            ),
            worker_threads: in_range("worker-threads", self.worker_threads, &(1..=64))?,
        })
    }
}

/// Runs an instance until SIGTERM or SIGINT. The first line on standard output contains its listen addresses.
pub(crate) fn run(options: Options) -> miette::Result<()> {
    init_logging(options.log_format, options.log_level);
    let settings = options.into_settings()?;
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("the runtime can't be started")?
        .block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> miette::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let instance = bilberryford_node::start(settings).await.into_diagnostic()?;
    println!("listening http={} peer={}", instance.address(), instance.peer_address());
    std::io::stdout().flush().into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    instance.shut_down().await.into_diagnostic()
}

fn init_logging(format: LogFormat, level: Level) {
    let filter = LevelFilter::MoreSevereEqual(level);
    let builder = logforth::starter_log::builder();
    match format {
        LogFormat::Json => {
            builder
                .dispatch(|d| {
                    d.filter(filter).append(Stderr::default().with_layout(JsonLayout::default()))
                })
                .apply();
        }
        LogFormat::Text => {
            builder
                .dispatch(|d| {
                    d.filter(filter).append(Stderr::default().with_layout(TextLayout::default()))
                })
                .apply();
        }
    }
}
