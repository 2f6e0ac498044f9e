//! The routes of one configuration version of the platform's operators.

use std::time::Duration;

use indexmap::IndexMap;
use sapphireford_platform::operator::{ConfigRecord, RouteRecord, RouteTarget, ServiceRecord};

use crate::ids::VersionNumber;

/// The routes and services of one version.
#[derive(Debug)]
pub struct RouteTable {
    /// Grows with each change.
    pub version: VersionNumber,
    /// For each host, the longest prefix first.
    routes: IndexMap<String, Vec<RouteRecord>>,
    services: IndexMap<String, ServiceRecord>,
    /// How long callers may leave a connection idle.
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
            idle_timeout: config.idle_timeout,
        }
    }
}

impl RouteTable {
    /// The route of a request. `host` may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRecord> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceRecord> {
        self.services.get(name)
    }
}

/// The target of a route for a fraction between 0 and 1, in proportion to the weights.
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
