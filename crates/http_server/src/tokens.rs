//! Bearer tokens, each scoped to one tenant or, with `*`, to all tenants. Tokens are compared in constant time.

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};
use std::io;
use std::path::{Path, PathBuf};
use subtle::ConstantTimeEq;

/// Reason why the tokens file cannot be used.
#[derive(Debug, Display, Error)]
pub enum TokensError {
    /// The file cannot be read.
    #[display("tokens file {}: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error returned by the operating system.
        error: io::Error,
    },
    /// A line is not of the form `tenant=SECRET`.
    #[display("tokens file {}: {allowed}", path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Description of the allowed format.
        allowed: String,
    },
}

/// The accepted tokens as SHA-256 digests, each with the tenant it is scoped to.
#[derive(Clone)]
pub struct Tokens {
    entries: Vec<([u8; 32], String)>,
}

/// Checks a list of `tenant=SECRET` entries; the error describes the allowed format and contains no secret.
#[allow(clippy::ptr_arg)]
pub fn check_tokens(entries: &Vec<String>) -> Result<(), String> {
    let is_valid = |entry: &String| match entry.split_once('=') {
        Some((tenant, secret)) => (tenant == "*" || bindings::check_name(tenant)) && secret.len() >= 8,
        None => false,
    };
    if entries.iter().all(is_valid) {
        Ok(())
    } else {
        Err("allowed are tenant=SECRET or *=SECRET, secrets of 8 or more characters".into())
    }
}

impl Tokens {
    /// Creates the tokens from a list that [`check_tokens`] accepts.
    pub fn new(entries: &[String]) -> Tokens {
        let split = entries.iter().filter_map(|entry| entry.split_once('='));
        Tokens { entries: split.map(|(tenant, secret)| (Sha256::digest(secret).into(), tenant.to_owned())).collect() }
    }

    /// Returns whether there are no tokens, in which case nobody can read a view.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reads the tokens from a setting and from a file with one token per line; blank lines and those that
    /// begin with `#` are ignored. An error never contains a secret.
    pub fn read(from_setting: &[String], file: &Path) -> Result<Tokens, TokensError> {
        let mut all = from_setting.to_vec();
        if !file.as_os_str().is_empty() {
            let text = std::fs::read_to_string(file)
                .map_err(|error| TokensError::Unreadable { path: file.to_owned(), error })?;
            let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
            all.extend(lines.map(str::to_owned));
            check_tokens(&all).map_err(|allowed| TokensError::Malformed { path: file.to_owned(), allowed })?;
        }
        Ok(Tokens::new(&all))
    }

    /// Returns the scope of an `Authorization` header: a tenant's name, or the empty string for all tenants.
    pub fn scope(&self, header: Option<&str>) -> Option<String> {
        let secret = header?.strip_prefix("Bearer ")?;
        let digest: [u8; 32] = Sha256::digest(secret).into();
        let mut found = None;
        for (token_digest, tenant) in &self.entries {
            if bool::from(token_digest.ct_eq(&digest)) {
                found = Some(if tenant == "*" { String::new() } else { tenant.clone() });
            }
        }
        found
    }
}
