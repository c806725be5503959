//! Adaptation of a router to a platform: its HTTP headers, instance provider and additional pages.

use crate::ops::Views;
use crate::settings::RouterSettings;
use axum::Router;
use dispatch::HttpDialect;
use instance_provider::ProviderFactory;

/// Builds the routes of the additional pages.
pub type MakePages = Box<dyn FnOnce(Views) -> Router + Send>;

/// Parts of a router that a platform can replace; the default is heronlink's own protocol.
#[derive(Default)]
pub struct Dialect {
    /// Names of the HTTP headers.
    pub http: HttpDialect,
    /// Builds the instance provider; by default, heronlink's own at the address in the settings.
    pub provider: Option<ProviderFactory>,
    /// Additional pages.
    pub pages: Option<MakePages>,
    /// Address at which the additional pages are served.
    pub pages_address: Option<String>,
    /// Reloads the settings; without it, they stay as they were at the start.
    pub reread: Option<config::Reread<RouterSettings>>,
}
