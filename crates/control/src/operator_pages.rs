//! Extension point for an operators' API in another vocabulary than the built-in one: a program passes in a
//! constructor for the additional pages, which call the core through a cloneable handle.

use crate::api_calls::{ApiCall, ApiReply};
use crate::control_message::ControlMessage;
use crate::settings::RegistrySettings;
use axum::Router;
use kernel::InboxSender;
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

/// HTTP statuses of changes that stay invalid when repeated. 412 is not among them: it only means that another change
/// came first.
const INVALID: [u16; 4] = [400, 403, 409, 422];

/// Constructor of the additional pages.
pub type MakePages = Box<dyn FnOnce(RegistryHandle) -> Router + Send>;

/// Additional pages for operators, none by default, and how to reread the settings.
#[derive(Default)]
pub struct ControlDialect {
    /// Makes the additional pages.
    pub pages: Option<MakePages>,
    /// The address that serves the additional pages.
    pub pages_address: Option<String>,
    /// Rereads the settings; without it they stay as they were at the start.
    pub reread: Option<config::Reread<RegistrySettings>>,
}

/// Handle through which operators' pages call a registry.
#[derive(Clone)]
pub struct RegistryHandle {
    pub(crate) control: InboxSender<ControlMessage>,
    pub(crate) status: watch::Receiver<String>,
}

impl RegistryHandle {
    /// Creates a handle from the control thread's inbox and the registry's published status.
    pub fn new(control: InboxSender<ControlMessage>, status: watch::Receiver<String>) -> RegistryHandle {
        RegistryHandle { control, status }
    }

    /// Sends a call to the core and waits for the reply.
    pub async fn call(&self, call: ApiCall) -> ApiReply {
        let (reply, answered) = oneshot::channel();
        if self.control.send(ControlMessage::Call { call, reply }).is_err() {
            let mut reply = ApiReply::new(503, json!({"outcome": "not-run", "fault": "too busy"}));
            reply.retry_after = Some(1);
            return reply;
        }
        answered.await.unwrap_or_else(|_| ApiReply::new(504, json!({"outcome": "unknown", "fault": "stopping"})))
    }

    /// Requests a change. A change that is refused as invalid is logged and counted, since its sender may be a program
    /// that ignores the answer.
    pub async fn change(&self, change: ApiCall) -> ApiReply {
        let reply = self.call(change).await;
        if INVALID.contains(&reply.status) {
            let body: Value = serde_json::from_str(&reply.body).unwrap_or_default();
            self.note_invalid(&body["faults"].to_string()).await;
        }
        reply
    }

    /// Logs and counts a change that a page itself refused. The fault must not contain an API key.
    pub async fn note_invalid(&self, fault: &str) {
        self.call(ApiCall::NoteInvalid { fault: fault.to_owned() }).await;
    }

    /// Returns this registry's status as JSON, updated as it changes.
    pub fn status(&self) -> watch::Receiver<String> {
        self.status.clone()
    }

    /// Whether this registry is in the chain and so can accept changes.
    pub fn is_ready(&self) -> bool {
        let status: Value = serde_json::from_str(&self.status.borrow()).unwrap_or_default();
        status["role"].as_str().is_some_and(|role| role != "out")
    }
}
