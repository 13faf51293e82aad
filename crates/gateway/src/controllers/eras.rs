//! Follows the eras of the store.
//!
//! A store that comes back from a copy has lost what it acknowledged since the copy was made, and gives its revisions out
//! again. Each kind of object is listed anew by its own watch; [`crate::gateway::Gateway::observe_era`] does what concerns
//! no single kind. What is kept, dropped or held is in `docs/design/store-eras.md`.

use std::sync::Arc;

use crate::gateway::Gateway;

pub(super) async fn run(gateway: Arc<Gateway>) {
    loop {
        let era = gateway.store.era();
        gateway.observe_era();
        gateway.store.wait_for_era_after(era).await;
    }
}
