//! `bilberryford promote`: copies an exact accepted generation from one environment to another.

use bilberryford_document::Document;
use bilberryford_node::{
    Accepted, ConfigChange, PromotedFrom, accept_change, config_key, read_config_head,
};
use bilberryford_platform::{HttpPlatform, HttpPlatformConfig};
use bilberryford_types::{EnvironmentName, Generation};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, miette};

/// Settings of `promote`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// The environment to copy from
    #[bpaf(long, argument("NAME"), fallback("trial".parse().expect("a name")), display_fallback)]
    from: EnvironmentName,
    /// The environment to copy to
    #[bpaf(long, argument("NAME"), fallback("production".parse().expect("a name")), display_fallback)]
    to: EnvironmentName,
    /// The generation to copy, which must be the accepted one
    #[bpaf(long, argument("GENERATION"))]
    generation: Generation,
    /// The generation that it replaces, which must be the accepted one; 0 for none
    #[bpaf(long, argument("GENERATION"))]
    replaces: Generation,
    /// The base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
}

/// Promotes, or fails with the generations that are accepted instead.
pub(crate) fn run(options: &Options) -> Result<()> {
    if options.from == options.to {
        return Err(miette!("--from and --to are both {}", options.from));
    }
    super::block_on(promote(options))
}

async fn promote(options: &Options) -> Result<()> {
    let config = HttpPlatformConfig::new(options.platform_url.clone());
    let platform = HttpPlatform::new(config).into_diagnostic()?;
    let source_key = config_key(&options.from).into_diagnostic()?;
    let key = config_key(&options.to).into_diagnostic()?;
    let source = read_config_head(&platform, &source_key).await.into_diagnostic()?;
    let accepted = source.generation();
    let found = source.config.filter(|config| config.generation == options.generation);
    let Some(found) = found else {
        return Err(miette!(
            "generation {} of {} was to be promoted, but generation {} is accepted there; nothing was written",
            options.generation,
            options.from,
            accepted
        ));
    };
    let document = Document::for_environment(&found.document, &options.to)
        .map_err(|findings| miette::Report::new(*findings))?;
    let promoted_from =
        PromotedFrom { environment: options.from.clone(), generation: options.generation };
    let change = ConfigChange {
        document,
        expected: Some(options.replaces),
        change_id: super::change_name(),
        promoted_from: Some(promoted_from),
    };
    let accepted = accept_change(&platform, &key, &change).await.into_diagnostic()?;
    let (generation, note) = match accepted {
        Accepted::New(generation) => (generation, "accepted"),
        Accepted::Unchanged(generation) => (generation, "already has this document"),
    };
    println!(
        "generation {generation} of {} {note}, from generation {} of {}",
        options.to, options.generation, options.from
    );
    if let Ok(source) = read_config_head(&platform, &source_key).await
        && source.generation() != options.generation
    {
        println!("{} has moved on to generation {}", options.from, source.generation());
    }
    Ok(())
}
