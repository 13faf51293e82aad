//! In which regions a request may run, which endpoints are there, and which teams use its cached parts.

use super::Gateway;
use crate::{
    deployment::{Deployment, Route, Team},
    part_sharing::PartSharing,
    placement::Candidate,
    regions::RegionSet,
};

impl Gateway {
    /// The regions in which a request may run by the configuration in force; none if it may run anywhere. A request that came
    /// under an earlier configuration follows the present one from its next attempt on.
    pub(crate) fn allowed_regions(
        &self,
        route: &Route,
        path: &str,
        team: Option<&Team>,
    ) -> Option<RegionSet> {
        let deployment = self.deployment.load();
        let of_route = deployment.as_ref().map_or(route.allowed_regions.as_ref(), |deployment| {
            deployment.regions_of_route(route, path)
        });
        RegionSet::of_both(of_route, team.and_then(|team| team.allowed_regions.as_ref()))
    }

    /// The teams that use the parts of a request's prompt by the configuration in force. An attempt keeps the result, so that
    /// what it finds, fetches and saves has one scope.
    pub(crate) fn part_sharing(&self, team: Option<&Team>) -> PartSharing {
        let deployment = self.deployment.load();
        let isolated = deployment.as_ref().map(|deployment| deployment.isolated_teams());
        isolated.map(|teams| teams.sharing(team.map(|team| &team.name))).unwrap_or_default()
    }

    /// Leaves out the candidates that are not in one of the regions. Returns false if there were some and none is left.
    pub(crate) fn retain_allowed(
        &self,
        candidates: &mut Vec<Candidate>,
        regions: &RegionSet,
    ) -> bool {
        let had_candidates = !candidates.is_empty();
        let endpoints = self.endpoints.lock();
        candidates.retain(|candidate| {
            let data_centre = endpoints.get(&candidate.id).map(|record| &record.data_centre);
            self.settings.regions.is_in(data_centre, regions)
        });
        !had_candidates || !candidates.is_empty()
    }

    /// Logs the routes and teams of which every request will be refused, since no data centre is in their regions.
    pub(crate) fn log_unmet_regions(&self, deployment: &Deployment) {
        let regions = &self.settings.regions;
        let unmet = deployment.restrictions_without(|allowed| regions.has_any_of(allowed));
        for (what, name) in unmet {
            log::error!(
                target: "belief", version:% = deployment.version(), what = what, name = name,
                regions:% = regions;
                "allowed regions name no region of the deployment; every request is refused"
            );
        }
    }
}
