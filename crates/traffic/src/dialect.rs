//! How a router is made to speak words other than the product's own, and to serve further pages.

use crate::ops::Views;
use crate::settings::RouterEnv;
use axum::Router;
use dispatch::Words;
use std::rc::Rc;
use supply::Supplier;

/// Makes the supplier on the thread that it serves.
pub type MakeSupplier = Box<dyn FnOnce() -> Rc<dyn Supplier> + Send>;
pub type MakePages = Box<dyn FnOnce(Views) -> Router + Send>;

/// The product's own dialect by default.
#[derive(Default)]
pub struct Dialect {
    pub words: Words,
    /// Who runs instances; the product's own supplier at the `platform` setting, if none is given.
    pub supplier: Option<MakeSupplier>,
    /// Further pages, and the address they are served at.
    pub pages: Option<MakePages>,
    pub pages_address: Option<String>,
    /// Reads the settings again; without it they stay as they were at the start.
    pub reread: Option<env::Reread<RouterEnv>>,
}
