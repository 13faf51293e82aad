//! `bilberryford apply`: makes a document the accepted one by a conditional update.

use std::path::PathBuf;

use bilberryford_node::{Accepted, ConfigChange, accept_change, config_key};
use bilberryford_platform::{HttpPlatform, HttpPlatformConfig};
use bilberryford_types::{EnvironmentName, Generation};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, miette};

use super::check;

/// Settings of `apply`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// The environment; the document must name the same
    #[bpaf(long, env("BILBERRYFORD_ENVIRONMENT"), argument("NAME"))]
    environment: EnvironmentName,
    /// The base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
    /// The generation that was edited, as `status` showed it; refused when another is accepted by now. Without it, whatever
    /// is accepted now is replaced
    #[bpaf(long, argument("GENERATION"))]
    edited: Option<Generation>,
    /// The document, a TOML file such as examples/demo.toml
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
    super::block_on(apply(options, text))
}

async fn apply(options: &Options, document: String) -> Result<()> {
    let config = HttpPlatformConfig::new(options.platform_url.clone());
    let platform = HttpPlatform::new(config).into_diagnostic()?;
    let key = config_key(&options.environment).into_diagnostic()?;
    let change = ConfigChange {
        document,
        expected: options.edited,
        change_id: super::change_name(),
        promoted_from: None,
    };
    let environment = &options.environment;
    match accept_change(&platform, &key, &change).await.into_diagnostic()? {
        Accepted::New(generation) => println!("generation {generation} of {environment} accepted"),
        Accepted::Unchanged(generation) => println!(
            "generation {generation} of {environment} already has this document; nothing was written"
        ),
    }
    Ok(())
}
