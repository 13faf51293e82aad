//! `bilberryford timeline`: one ordered time line from log files and running instances.

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

/// The deadline of reading one running instance.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of `timeline`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Only events of this request, by its id as events show it
    #[bpaf(long, argument("REQUEST"))]
    request: Option<RequestId>,
    /// Only events of the order with this idempotency key
    #[bpaf(long, argument("KEY"))]
    order: Option<OrderKey>,
    /// Only events of this team
    #[bpaf(long, argument("TEAM"))]
    team: Option<TeamName>,
    /// Only events of this endpoint
    #[bpaf(long, argument("ENDPOINT"))]
    endpoint: Option<EndpointId>,
    /// Write a page for a browser into this file instead of text
    #[bpaf(long, argument("FILE"))]
    html: Option<PathBuf>,
    /// Log files, or base URLs of running instances such as http://127.0.0.1:8080
    #[bpaf(positional("SOURCE"), some("give at least one log file or instance"))]
    sources: Vec<String>,
}

/// Prints or writes the time line; sources that can't be read are named, and only the lack of all is an error.
pub(crate) fn run(options: &Options) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let timeline = runtime.block_on(read_all(&options.sources));
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

/// Writes to standard output; a reader that has seen enough, such as `head`, is no error.
fn print(text: &str) -> Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error).into_diagnostic(),
        _ => Ok(()),
    }
}

async fn read_all(sources: &[String]) -> Timeline {
    let client = reqwest::Client::new();
    let reads = sources.iter().map(|source| read(&client, source));
    let texts = futures::future::join_all(reads).await;
    let mut timeline = Timeline::default();
    for (source, read) in sources.iter().zip(texts) {
        match read {
            Ok(text) => timeline.add_source(source, &text, None),
            Err(failure) => timeline.add_source(source, "", Some(failure)),
        }
    }
    timeline.sort();
    timeline
}

async fn read(client: &reqwest::Client, source: &str) -> Result<String, String> {
    if !source.starts_with("http://") {
        let bytes = fs::read(source).map_err(|error| error.to_string())?;
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    let base = source.trim_end_matches('/').trim_end_matches("/events");
    let request = client.get(format!("{base}/events")).timeout(READ_TIMEOUT);
    let answer = request.send().await.and_then(reqwest::Response::error_for_status);
    answer.map_err(|error| error.to_string())?.text().await.map_err(|error| error.to_string())
}
