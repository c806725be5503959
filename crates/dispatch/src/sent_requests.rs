//! Ids of the requests that a connection has carried.
//!
//! A response names its request by id only, and an instance may send a second copy of a response at any later time. If
//! a connection carried the same id twice, a copy of the response to the first sending could not be told from the
//! response to the second.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of requests after which a connection is closed; bounds the memory for their ids to 8 kB.
const MAX_REQUESTS: usize = 1000;

/// Hashes of request ids. Two ids with the same hash cost a new connection and do no other harm.
#[derive(Default)]
pub(crate) struct SentRequests {
    id_hashes: Vec<u64>,
}

impl SentRequests {
    /// Adds a request.
    pub fn insert(&mut self, request_id: &[u8]) {
        self.id_hashes.push(hash(request_id));
    }

    /// Whether a request with this id was added.
    pub fn contains(&self, request_id: &[u8]) -> bool {
        self.id_hashes.contains(&hash(request_id))
    }

    /// Whether no more requests may be added.
    pub fn is_full(&self) -> bool {
        self.id_hashes.len() >= MAX_REQUESTS
    }
}

fn hash(request_id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use super::{MAX_REQUESTS, SentRequests};

    #[test]
    fn every_id_is_known_until_the_connection_is_full() {
        let mut sent = SentRequests::default();
        let id = |number: usize| format!("request-{number}").into_bytes();
        for number in 0..MAX_REQUESTS {
            assert!(!sent.is_full() && !sent.contains(&id(number)));
            sent.insert(&id(number));
        }
        assert!(sent.is_full());
        assert!((0..MAX_REQUESTS).all(|number| sent.contains(&id(number))));
    }
}
