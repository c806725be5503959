//! How operators' pages in words other than the product's own are put beside it: a program hands in
//! what makes them, and they ask the core through a handle that can be cloned.

use crate::api_calls::{ApiCall, ApiReply};
use crate::control_message::ControlMessage;
use crate::settings::RegistrySettings;
use axum::Router;
use kernel::InboxSender;
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

/// The statuses of changes that no sending again would make valid; 412 tells only that another came first.
const INVALID: [u16; 4] = [400, 403, 409, 422];

pub type MakePages = Box<dyn FnOnce(Operators) -> Router + Send>;

/// Further pages for operators and where they are served; by default there are none.
#[derive(Default)]
pub struct ControlDialect {
    pub pages: Option<MakePages>,
    pub pages_address: Option<String>,
    /// Reads the settings again; without it they stay as they were at the start.
    pub reread: Option<config::Reread<RegistrySettings>>,
}

/// What operators' pages ask of a registry.
#[derive(Clone)]
pub struct Operators {
    pub(crate) control: InboxSender<ControlMessage>,
    pub(crate) view: watch::Receiver<String>,
}

impl Operators {
    pub fn new(control: InboxSender<ControlMessage>, view: watch::Receiver<String>) -> Operators {
        Operators { control, view }
    }

    pub async fn call(&self, call: ApiCall) -> ApiReply {
        let (reply, answered) = oneshot::channel();
        if self.control.send(ControlMessage::Call { call, reply }).is_err() {
            let mut reply = ApiReply::new(503, json!({"outcome": "not-run", "fault": "too busy"}));
            reply.retry_after = Some(1);
            return reply;
        }
        answered.await.unwrap_or_else(|_| ApiReply::new(504, json!({"outcome": "unknown", "fault": "stopping"})))
    }

    /// Asks for a change. One that is refused as invalid is logged and counted, since whoever sent it may be a
    /// program that drops the answer.
    pub async fn change(&self, change: ApiCall) -> ApiReply {
        let reply = self.call(change).await;
        if INVALID.contains(&reply.status) {
            let told: Value = serde_json::from_str(&reply.body).unwrap_or_default();
            self.note_invalid(&told["faults"].to_string()).await;
        }
        reply
    }

    /// Notes a change that the pages themselves refused. The fault must not tell an API key.
    pub async fn note_invalid(&self, fault: &str) {
        self.call(ApiCall::NoteInvalid { fault: fault.to_owned() }).await;
    }

    /// This registry's view of the system as JSON, as it changes.
    pub fn view(&self) -> watch::Receiver<String> {
        self.view.clone()
    }

    /// Whether this registry is in the chain, and so can take changes.
    pub fn is_ready(&self) -> bool {
        let view: Value = serde_json::from_str(&self.view.borrow()).unwrap_or_default();
        view["role"].as_str().is_some_and(|role| role != "out")
    }
}
