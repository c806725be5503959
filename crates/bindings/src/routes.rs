//! Which binding a path belongs to: for each host, its routes by their whole text. A route that ends
//! with a slash matches the paths that begin with it, any other the path itself or whole leading parts.

use std::borrow::Cow;
use std::collections::HashMap;

/// A host as it is compared: without a port, in lower case.
pub fn bare_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        return Cow::Owned(name.to_ascii_lowercase());
    }
    Cow::Borrowed(name)
}

#[derive(Clone, Debug, Default)]
struct HostRoutes {
    places: HashMap<String, usize>,
    longest: usize,
}

impl HostRoutes {
    /// The longest route first; no more of the path is looked at than the longest route there is.
    fn find(&self, path: &str) -> Option<usize> {
        let known = |route: &str| self.places.get(route).copied();
        if path.len() <= self.longest
            && let Some(place) = known(path)
        {
            return Some(place);
        }
        let mut end = path.len().min(self.longest + 1);
        while let Some(slash) = path.as_bytes()[..end].iter().rposition(|b| *b == b'/') {
            if let Some(place) = known(&path[..=slash]).or_else(|| known(&path[..slash])) {
                return Some(place);
            }
            end = slash;
        }
        None
    }
}

#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<String, HostRoutes>,
}

impl Routes {
    pub fn put(&mut self, host: &str, route: &str, place: usize) {
        let routes = self.hosts.entry(bare_host(host).into_owned()).or_default();
        routes.longest = routes.longest.max(route.len());
        routes.places.insert(route.to_owned(), place);
    }

    /// The place of the longest route of that host, else of no host in particular.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let own = self.hosts.get(bare_host(host).as_ref()).and_then(|routes| routes.find(path));
        own.or_else(|| self.hosts.get("").and_then(|routes| routes.find(path)))
    }

    pub fn count(&self) -> usize {
        self.hosts.values().map(|routes| routes.places.len()).sum()
    }
}
