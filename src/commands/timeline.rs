//! `bilberryford timeline`: merges the events of log files and running instances into one ordered timeline.

use std::{
    fs,
    io::{ErrorKind, Write},
    path::PathBuf,
    time::Duration,
};

use bilberryford_timeline::{Filter, Timeline, render_html, render_text};
use bilberryford_types::{EndpointId, OrderKey, RequestId, TeamName};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, WrapErr, miette};

/// The timeout for reading the events of one running instance.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of `timeline`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Show only events of this request, given by its id in events
    #[bpaf(long, argument("REQUEST"))]
    request: Option<RequestId>,
    /// Show only events of the order with this idempotency key
    #[bpaf(long, argument("KEY"))]
    order: Option<OrderKey>,
    /// Show only events of this team
    #[bpaf(long, argument("TEAM"))]
    team: Option<TeamName>,
    /// Show only events of this endpoint
    #[bpaf(long, argument("ENDPOINT"))]
    endpoint: Option<EndpointId>,
    /// Write an HTML page to this file instead of printing text
    #[bpaf(long, argument("FILE"))]
    html: Option<PathBuf>,
    /// Log files, or base URLs of running instances such as http://127.0.0.1:8080
    #[bpaf(positional("SOURCE"), some("give at least one log file or instance"))]
    sources: Vec<String>,
}

/// Prints the timeline or writes it to a file. Fails only if all sources are unreadable; otherwise these are listed.
pub(crate) fn run(options: &Options) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let timeline = runtime.block_on(read_sources(&options.sources));
    if timeline.sources().iter().all(|source| source.failure.is_some()) {
        let failures = timeline.sources().iter().filter_map(|source| source.failure.as_deref());
        return Err(miette!("no source can be read: {}", failures.collect::<Vec<_>>().join("; ")));
    }
    let filter = Filter {
        request: options.request.clone(),
        order: options.order.clone(),
        team: options.team.clone(),
        endpoint: options.endpoint.clone(),
    };
    match &options.html {
        None => print(&render_text(&timeline, &filter))?,
        Some(file) => {
            let write = fs::write(file, render_html(&timeline, &filter));
            write
                .into_diagnostic()
                .wrap_err_with(|| format!("{} can't be written", file.display()))?;
            println!("{} written", file.display());
        }
    }
    Ok(())
}

/// Writes to standard output. A reader that closes the pipe early, such as `head`, is not an error.
fn print(text: &str) -> Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error).into_diagnostic(),
        _ => Ok(()),
    }
}

async fn read_sources(sources: &[String]) -> Timeline {
    let client = reqwest::Client::new();
    let reads = sources.iter().map(|source| read_source(&client, source));
    let results = futures::future::join_all(reads).await;
    let mut timeline = Timeline::default();
    for (source, result) in sources.iter().zip(results) {
        match result {
            Ok(text) => timeline.add_source(source, &text, None),
            Err(failure) => timeline.add_source(source, "", Some(failure)),
        }
    }
    timeline.sort();
    timeline
}

async fn read_source(client: &reqwest::Client, source: &str) -> Result<String, String> {
    if !source.starts_with("http://") {
        let bytes = fs::read(source).map_err(|error| error.to_string())?;
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    let base = source.trim_end_matches('/').trim_end_matches("/events");
    let request = client.get(format!("{base}/events")).timeout(READ_TIMEOUT);
    let response = request.send().await.and_then(reqwest::Response::error_for_status);
    response.map_err(|error| error.to_string())?.text().await.map_err(|error| error.to_string())
}
