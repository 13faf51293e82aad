//! `bilberryford gateway`: runs an instance on the platform that the settings file describes.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use bilberryford_adapter::{
    CacheClient, EngineClient, ObjectStoreClient, PlatformTranslation, read_settings,
};
use bilberryford_gateway::{Gateway, SettingChange, serve, setting_change};
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

/// Runs the gateway until SIGTERM. SIGHUP reads the settings file again, as does the begin of the stop.
pub(crate) fn run(options: Options) -> miette::Result<()> {
    logging::init();
    super::block_on(serve_until_stopped(options))
}

async fn serve_until_stopped(options: Options) -> miette::Result<()> {
    // SIGHUP ends a process without a handler, and the platform sends it to instances that are starting as well. SIGTERM may
    // end one that has accepted nothing yet.
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    log::info!(target: "life", settings:% = options.settings.display(); "starting");
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
    let gateway = Arc::new(gateway);
    let mut stop = signal(SignalKind::terminate()).into_diagnostic()?;
    let (path, reloaded) = (options.settings.clone(), gateway.clone());
    let store_address = settings.object_store_address;
    let reload = move || reload(&reloaded, &path, store_address);
    let reload_at_stop = reload.clone();
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            reload();
        }
    });
    serve(gateway, async move {
        stop.recv().await;
        // A SIGHUP that was sent before may be handled later, and the stop plans by the grace period in the file.
        reload_at_stop();
    })
    .await
    .into_diagnostic()
}

/// Applies what can change of the settings file without a restart, and logs each difference.
fn reload(gateway: &Gateway, path: &Path, store_address: SocketAddr) {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(target: "life", error:% = error; "settings file is not usable; current settings are kept");
            return;
        }
    };
    let mut changes = gateway.reload(&settings.gateway);
    changes.extend(setting_change(
        "object_store_address",
        &store_address,
        &settings.object_store_address,
    ));
    log::info!(target: "life", changes = changes.len(); "settings file read again");
    for change in changes {
        let SettingChange { field, old, new, is_applied } = change;
        if is_applied {
            log::info!(target: "life", field = field, old = old, new = new; "setting changed");
        } else {
            log::warn!(
                target: "life", field = field, old = old, new = new;
                "setting can't change while the instance runs; the old value is kept until the next start"
            );
        }
    }
}
