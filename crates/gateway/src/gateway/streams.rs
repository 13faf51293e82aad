//! Which endpoints may go on with a stream.

use bilberryford_coord::StreamOrigin;
use bilberryford_types::{Build, PoolName};

use super::Gateway;
use crate::deployment::Route;

impl Gateway {
    /// Returns the service and the build of `origin`, if the route leads to the service and an endpoint of the build is
    /// ready.
    pub(crate) fn stream_home(
        &self,
        origin: StreamOrigin,
        route: &Route,
    ) -> Option<(PoolName, Build)> {
        let now_ms = self.clock.now();
        let endpoints = self.endpoints.lock();
        let record = endpoints.ready(now_ms).find(|record| {
            route.targets.iter().any(|target| target.service == record.service)
                && StreamOrigin::new(&record.service, &record.build) == origin
        })?;
        Some((record.service.clone(), record.build.clone()))
    }
}
