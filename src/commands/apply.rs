//! `bilberryford apply`: makes a document the accepted one of its environment, by a conditional update.

use std::path::PathBuf;

use bilberryford_node::{Accepted, ConfigChange, accept_change, config_key};
use bilberryford_platform::{HttpPlatform, HttpPlatformConfig};
use bilberryford_types::{EnvironmentName, Generation};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, miette};

use super::check;

/// Options of `apply`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Environment of the document
    #[bpaf(long, env("BILBERRYFORD_ENVIRONMENT"), argument("NAME"))]
    environment: EnvironmentName,
    /// Base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
    /// Generation that the edit started from, as shown by `status`. The document is refused if another generation is
    /// accepted by now; without this option, it replaces any generation
    #[bpaf(long, argument("GENERATION"))]
    edited: Option<Generation>,
    /// Environment document, a TOML file such as examples/demo.toml
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Applies the document. Fails with the accepted generation if that is not the expected one.
pub(crate) fn run(options: &Options) -> Result<()> {
    let (text, document) = check::read_document(&options.file)?;
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
        change_id: super::random_change_id(),
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
