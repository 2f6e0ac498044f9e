//! The routes, services and teams of one version of the platform operators' configuration.

use std::time::Duration;

use indexmap::IndexMap;
use sapphireford_platform::operator::{ConfigRecord, RouteRecord, RouteTarget, ServiceRecord};

use crate::ids::VersionNumber;
use crate::version::teams::Teams;

/// The routes, services and teams of one configuration version.
#[derive(Debug)]
pub struct RouteTable {
    /// Increases with each change.
    pub version: VersionNumber,
    /// By host in lower case; the routes of a host are ordered by decreasing prefix length.
    routes: IndexMap<String, Vec<RouteRecord>>,
    services: IndexMap<String, ServiceRecord>,
    /// `None` if the configuration has no teams, so that requests need no keys.
    pub teams: Option<Teams>,
    /// Timeout of idle connections from callers; `None` if the configuration does not set it.
    pub idle_timeout: Option<Duration>,
}

impl From<ConfigRecord> for RouteTable {
    fn from(config: ConfigRecord) -> Self {
        let mut routes: IndexMap<String, Vec<RouteRecord>> = IndexMap::new();
        for route in config.routes {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(route);
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = config.services.into_iter();
        Self {
            version: config.version,
            routes,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            teams: config.teams.map(Teams::from),
            idle_timeout: config.idle_timeout,
        }
    }
}

impl RouteTable {
    /// Returns the route with the longest path prefix that matches a request. `host` may include a
    /// port.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRecord> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceRecord> {
        self.services.get(name)
    }
}

/// Chooses a target by weight. `fraction`, between 0 and 1, selects a position in the total weight;
/// negative weights count as 0. Returns `None` if no weight is positive.
pub fn choose_target(targets: &[RouteTarget], fraction: f64) -> Option<&RouteTarget> {
    let total: f64 = targets.iter().map(|target| target.weight.max(0.0)).sum();
    let mut remaining = fraction * total;
    for target in targets {
        remaining -= target.weight.max(0.0);
        if remaining < 0.0 {
            return Some(target);
        }
    }
    targets.iter().rev().find(|target| target.weight > 0.0)
}
