//! Answers to queries for the state of a deferred task.

use crate::data_plane::DataPlane;
use crate::front_types::Reply;
use bytes::Bytes;
use wire::{DeferredRecord, StoredAnswer};

impl DataPlane {
    /// Answers a query with the registries' record of the task.
    pub(crate) fn answer_status_query(&mut self, request_id: u64, record: Option<Vec<u8>>) {
        let Some((reply, _)) = self.status_queries.remove(&request_id) else { return };
        let answer = match record.and_then(|raw| wire::from_bytes::<DeferredRecord>(&raw)) {
            None => Reply::from_router(404, None, "no such task"),
            Some(record) if record.is_answered == 0 => Reply {
                body: Bytes::from_static(b"{\"state\":\"pending\"}"),
                ..Reply::from_router(200, Some(wire::Outcome::Accepted), "")
            },
            Some(record) => match wire::from_bytes::<StoredAnswer>(record.answer.as_slice()) {
                Some(stored) => Reply {
                    head: stored.head.into_vec(),
                    body: stored.body.into_bytes(),
                    ..Reply::from_router(stored.status, Some(stored.outcome), "")
                },
                None => Reply::from_router(500, None, "the stored answer cannot be read"),
            },
        };
        let _ = reply.send(answer);
    }
}
