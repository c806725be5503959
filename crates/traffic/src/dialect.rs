//! How a router is made to speak words other than the product's own, and to serve further pages.

use crate::ops::Views;
use crate::settings::RouterSettings;
use axum::Router;
use dispatch::HttpDialect;
use instance_provider::ProviderFactory;

pub type MakePages = Box<dyn FnOnce(Views) -> Router + Send>;

/// The product's own dialect by default.
#[derive(Default)]
pub struct Dialect {
    pub words: HttpDialect,
    /// Makes whoever runs the instances; by default that of the settings, in the product's own dialect.
    pub provider: Option<ProviderFactory>,
    /// Further pages, and the address they are served at.
    pub pages: Option<MakePages>,
    pub pages_address: Option<String>,
    /// Reads the settings again; without it they stay as they were at the start.
    pub reread: Option<config::Reread<RouterSettings>>,
}
