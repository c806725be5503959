//! The threads of a router beside the control and the traffic thread: the instance provider, and the server for operations.

use crate::dialect::MakePages;
use crate::ops::{Views, ops_router};
use crate::traffic_message::TrafficMessage;
use axum::Router;
use http_server::ServerLimits;
use instance_provider::{InstanceProvider, OwnInstanceProvider, ProviderFactory, ProviderOrder, ProviderReport};
use kernel::{Inbox, InboxSender, StartError, adopt, local, thread};
use std::net::TcpListener;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};

/// Starts the thread of the instance provider, which reports to the traffic thread. Without a factory it is heronlink's own
/// provider at the address.
pub fn start_provider(
    factory: Option<ProviderFactory>,
    address: String,
    orders: Inbox<ProviderOrder>,
    traffic: InboxSender<TrafficMessage>,
) -> Result<(), StartError> {
    thread("platform", move || {
        let report: Rc<dyn Fn(ProviderReport)> = Rc::new(move |report| {
            let traffic = traffic.clone();
            spawn_local(async move { traffic.send_waiting(TrafficMessage::Platform(report)).await });
        });
        let provider = factory
            .map_or_else(|| Rc::new(OwnInstanceProvider::new(&address)) as Rc<dyn InstanceProvider>, |make| make());
        local(async move { instance_provider::run(provider, orders, report).await });
    })?;
    Ok(())
}

/// The server for operations, and for a platform's additional pages.
pub struct OperationsServer {
    pub listener: TcpListener,
    /// Pages that show the declared resources.
    pub resource_pages: Router,
    pub platform_pages: Option<PlatformPages>,
    pub views: Views,
    pub limits: ServerLimits,
    pub stop: watch::Receiver<bool>,
}

/// Additional pages of a platform, with an address of their own.
pub struct PlatformPages {
    pub listener: TcpListener,
    pub make: MakePages,
}

impl OperationsServer {
    /// Starts the thread, which ends once a stop has closed both listeners.
    pub fn start(self) -> Result<(), StartError> {
        thread("operations", move || local(self.serve()))?;
        Ok(())
    }

    async fn serve(self) {
        let OperationsServer { listener, resource_pages, platform_pages, views, limits, stop } = self;
        let mut servers = JoinSet::new();
        if let Some(PlatformPages { listener, make }) = platform_pages {
            let pages = make(views.clone());
            servers.spawn_local(http_server::serve(adopt(listener), pages, limits, stop.clone()));
        }
        let pages = ops_router(views).merge(resource_pages);
        servers.spawn_local(http_server::serve(adopt(listener), pages, limits, stop));
        while servers.join_next().await.is_some() {}
    }
}
