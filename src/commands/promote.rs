//! `bilberryford promote`: copies the accepted generation of one environment to another.

use bilberryford_document::Document;
use bilberryford_node::{
    Accepted, ConfigChange, PromotedFrom, accept_change, config_key, read_config_head,
};
use bilberryford_platform::{HttpPlatform, HttpPlatformConfig};
use bilberryford_types::{EnvironmentName, Generation};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, miette};

/// Options of `promote`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Environment to copy from
    #[bpaf(long, argument("NAME"), fallback("trial".parse().expect("a name")), display_fallback)]
    from: EnvironmentName,
    /// Environment to copy to
    #[bpaf(long, argument("NAME"), fallback("production".parse().expect("a name")), display_fallback)]
    to: EnvironmentName,
    /// Generation to copy; must be the accepted generation of the source environment
    #[bpaf(long, argument("GENERATION"))]
    generation: Generation,
    /// Generation to replace; must be the accepted generation of the target environment, or 0 if it has none
    #[bpaf(long, argument("GENERATION"))]
    replaces: Generation,
    /// Base URL of the platform
    #[bpaf(long, env("BILBERRYFORD_PLATFORM_URL"), argument("URL"))]
    platform_url: String,
}

/// Promotes the generation. Fails if another generation is accepted in either environment.
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
    let target_key = config_key(&options.to).into_diagnostic()?;
    let source = read_config_head(&platform, &source_key).await.into_diagnostic()?;
    let accepted = source.generation();
    let config = source.config.filter(|config| config.generation == options.generation);
    let Some(config) = config else {
        return Err(miette!(
            "generation {} of {} was to be promoted, but generation {} is accepted there; nothing was written",
            options.generation,
            options.from,
            accepted
        ));
    };
    let document = Document::for_environment(&config.document, &options.to)
        .map_err(|diagnostics| miette::Report::new(*diagnostics))?;
    let promoted_from =
        PromotedFrom { environment: options.from.clone(), generation: options.generation };
    let change = ConfigChange {
        document,
        expected: Some(options.replaces),
        change_id: super::random_change_id(),
        promoted_from: Some(promoted_from),
    };
    let accepted = accept_change(&platform, &target_key, &change).await.into_diagnostic()?;
    let (generation, result) = match accepted {
        Accepted::New(generation) => (generation, "accepted"),
        Accepted::Unchanged(generation) => (generation, "already has this document"),
    };
    println!(
        "generation {generation} of {} {result}, from generation {} of {}",
        options.to, options.generation, options.from
    );
    if let Ok(source) = read_config_head(&platform, &source_key).await
        && source.generation() != options.generation
    {
        println!("{} is at generation {} now", options.from, source.generation());
    }
    Ok(())
}
