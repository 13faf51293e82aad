//! `bilberryford apply`: makes a document the accepted one by a conditional update.

use std::path::PathBuf;

use bilberryford_node::{ConfigObject, config_key};
use bilberryford_platform::{
    HttpPlatform, HttpPlatformConfig, ObjectStore, PlatformError, Precondition,
};
use bilberryford_types::{EnvironmentName, Generation};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, miette};

use super::check;

/// Settings of `apply`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// The environment; the document must name the same
    #[bpaf(long, env("BILBERRYFORD_ENVIRONMENT"), argument("NAME"))]
    environment: EnvironmentName,
    /// The base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
    /// The generation that was edited; without it, the one that is accepted now
    #[bpaf(long, argument("GENERATION"))]
    edited: Option<Generation>,
    /// The document
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Applies the document, or fails with the generation that won.
pub(crate) fn run(options: &Options) -> Result<()> {
    let (text, document) = check::read(&options.file)?;
    if document.environment != options.environment {
        return Err(miette!(
            "the document is for environment {}, not for {}",
            document.environment,
            options.environment
        ));
    }
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(apply(options, text))
}

async fn apply(options: &Options, document: String) -> Result<()> {
    let platform = HttpPlatform::new(HttpPlatformConfig::new(options.platform_url.clone()))
        .into_diagnostic()?;
    let key = config_key(&options.environment).into_diagnostic()?;
    let current = platform.get(&key).await.into_diagnostic()?;
    let (accepted, precondition) = match &current {
        None => (Generation(0), Precondition::Absent),
        Some(object) => {
            let config: ConfigObject = serde_json::from_slice(&object.body).into_diagnostic()?;
            (config.generation, Precondition::Version(object.version))
        }
    };
    if let Some(edited) = options.edited.filter(|edited| *edited != accepted) {
        return Err(conflict(edited, accepted));
    }
    let generation = Generation(accepted.get() + 1);
    let body = serde_json::to_vec(&ConfigObject { generation, document }).into_diagnostic()?;
    match platform.put(&key, precondition, body.into()).await {
        Ok(_) => {
            println!("generation {generation} of {} accepted", options.environment);
            Ok(())
        }
        Err(PlatformError::Conflict { .. }) => Err(conflict(accepted, generation)),
        Err(error) => Err(error).into_diagnostic(),
    }
}

fn conflict(edited: Generation, accepted: Generation) -> miette::Report {
    miette!(
        "generation {edited} was edited, but generation {accepted} or a later one is accepted; nothing was written"
    )
}
