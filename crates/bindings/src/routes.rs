//! Lookup of the binding for a host and path. A route that ends with a slash matches all paths that start with it. Any
//! other route matches the same path and the paths that continue it after a slash.

use std::borrow::Cow;
use std::collections::HashMap;

/// Normalizes a host for comparison: without its port, in lower case.
pub fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        return Cow::Owned(name.to_ascii_lowercase());
    }
    Cow::Borrowed(name)
}

/// Routes of one host, by their full text.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    binding_indices: HashMap<String, usize>,
    longest_route: usize,
}

impl HostRoutes {
    /// Returns the binding index of the longest matching route. No more of the path is examined than the length of the
    /// longest route.
    fn find(&self, path: &str) -> Option<usize> {
        let lookup = |route: &str| self.binding_indices.get(route).copied();
        if path.len() <= self.longest_route
            && let Some(index) = lookup(path)
        {
            return Some(index);
        }
        let mut end = path.len().min(self.longest_route + 1);
        while let Some(slash) = path.as_bytes()[..end].iter().rposition(|b| *b == b'/') {
            if let Some(index) = lookup(&path[..=slash]).or_else(|| lookup(&path[..slash])) {
                return Some(index);
            }
            end = slash;
        }
        None
    }
}

/// Routes of all hosts; those for any host are stored under an empty name.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<String, HostRoutes>,
}

impl Routes {
    /// Adds a route that leads to the binding with this index.
    pub fn insert(&mut self, host: &str, route: &str, binding_index: usize) {
        let routes = self.hosts.entry(normalize_host(host).into_owned()).or_default();
        routes.longest_route = routes.longest_route.max(route.len());
        routes.binding_indices.insert(route.to_owned(), binding_index);
    }

    /// Returns the binding index of the longest matching route of the host or, if there is none, of any host.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host_match = self.hosts.get(normalize_host(host).as_ref()).and_then(|routes| routes.find(path));
        host_match.or_else(|| self.hosts.get("").and_then(|routes| routes.find(path)))
    }

    /// Returns the number of routes.
    pub fn count(&self) -> usize {
        self.hosts.values().map(|routes| routes.binding_indices.len()).sum()
    }
}
