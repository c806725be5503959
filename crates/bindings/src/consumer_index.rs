//! Lookup of consumers by API key. Keys are stored as digests, so that a lookup compares no byte of a key itself and
//! takes as long for an unknown key as for a known one.

use crate::consumers::Consumer;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};

type KeyDigest = [u8; 32];

/// Consumers of one configuration, by name and by API key.
#[derive(Clone, Debug, Default)]
pub struct ConsumerIndex {
    by_name: BTreeMap<String, Consumer>,
    by_key: HashMap<KeyDigest, String>,
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

impl ConsumerIndex {
    /// Adds a consumer under its name `tenant/name`.
    pub(crate) fn insert(&mut self, name: &str, mut consumer: Consumer) {
        for key in std::mem::take(&mut consumer.keys) {
            self.by_key.insert(digest(&key), name.to_owned());
        }
        self.by_name.insert(name.to_owned(), consumer);
    }

    /// Returns whether no consumer is declared.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the name, as `tenant/name`, of the consumer that an API key belongs to.
    pub fn name_of_key(&self, key: &str) -> Option<&str> {
        self.by_key.get(&digest(key)).map(String::as_str)
    }

    /// Returns a consumer, without its keys, by its name `tenant/name`.
    pub fn get(&self, name: &str) -> Option<&Consumer> {
        self.by_name.get(name)
    }

    /// Iterates over all consumers, without their keys, in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Consumer)> {
        self.by_name.iter().map(|(name, consumer)| (name.as_str(), consumer))
    }
}
