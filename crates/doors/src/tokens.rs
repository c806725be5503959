//! Bearer tokens, each scoped to one tenant or, with `*`, to all. Compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

#[derive(Clone)]
pub struct Tokens {
    list: Vec<([u8; 32], String)>,
}

#[allow(clippy::ptr_arg)]
pub fn well_formed(list: &Vec<String>) -> Result<(), String> {
    let good = |entry: &String| match entry.split_once('=') {
        Some((tenant, secret)) => (tenant == "*" || bindings::check_name(tenant)) && secret.len() >= 8,
        None => false,
    };
    if list.iter().all(good) {
        Ok(())
    } else {
        Err("allowed are tenant=SECRET or *=SECRET, secrets of 8 or more characters".into())
    }
}

impl Tokens {
    pub fn new(list: &[String]) -> Tokens {
        let split = list.iter().filter_map(|entry| entry.split_once('='));
        Tokens { list: split.map(|(tenant, secret)| (Sha256::digest(secret).into(), tenant.to_owned())).collect() }
    }

    /// The scope a bearer has: a tenant's name, or the empty string for all of them.
    pub fn scope(&self, header: Option<&str>) -> Option<String> {
        let secret = header?.strip_prefix("Bearer ")?;
        let digest: [u8; 32] = Sha256::digest(secret).into();
        let mut found = None;
        for (known, tenant) in &self.list {
            if bool::from(known.ct_eq(&digest)) {
                found = Some(if tenant == "*" { String::new() } else { tenant.clone() });
            }
        }
        found
    }
}
