//! `bilberryford gateway`: runs an instance on the platform that the settings file describes.

use std::{path::PathBuf, sync::Arc};

use bilberryford_adapter::{
    CacheClient, EngineClient, ObjectStoreClient, PlatformTranslation, read_settings,
};
use bilberryford_gateway::{Gateway, serve};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

use crate::logging;

/// Options of `gateway`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Settings file, as written by the platform
    #[bpaf(long, env("BILBERRYFORD_CONFIG"), argument("FILE"))]
    settings: PathBuf,
}

/// Runs the gateway until SIGTERM. SIGHUP checks the settings file.
pub(crate) fn run(options: Options) -> miette::Result<()> {
    logging::init();
    super::block_on(serve_until_stopped(options))
}

async fn serve_until_stopped(options: Options) -> miette::Result<()> {
    let settings = read_settings(&options.settings).into_diagnostic()?;
    let object_store = ObjectStoreClient::new(settings.object_store_address).into_diagnostic()?;
    let engines = EngineClient::new().into_diagnostic()?;
    let caches = CacheClient::new().into_diagnostic()?;
    let gateway = Gateway::new(
        settings.gateway,
        Arc::new(PlatformTranslation),
        Arc::new(object_store),
        Arc::new(engines),
        Arc::new(caches),
    )
    .into_diagnostic()
    .wrap_err("the gateway can't be set up")?;
    let mut stop = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut reload = signal(SignalKind::hangup()).into_diagnostic()?;
    let path = options.settings.clone();
    tokio::spawn(async move {
        while reload.recv().await.is_some() {
            // The file is only checked: its addresses and limits apply from the next start of the instance.
            match read_settings(&path) {
                Ok(_) => {
                    log::info!(target: "life", "settings file is valid; it applies from the next start")
                }
                Err(error) => {
                    log::error!(target: "life", error:% = error; "settings file is not usable; current settings are kept")
                }
            }
        }
    });
    serve(gateway, async move {
        stop.recv().await;
    })
    .await
    .into_diagnostic()
}
