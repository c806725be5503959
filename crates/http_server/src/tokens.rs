//! Bearer tokens, each scoped to one tenant or, with `*`, to all. Compared in constant time.

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};
use std::io;
use std::path::{Path, PathBuf};
use subtle::ConstantTimeEq;

/// Why the tokens file cannot be used.
#[derive(Debug, Display, Error)]
pub enum TokensError {
    /// The file cannot be read.
    #[display("tokens file {}: {error}", path.display())]
    Unread {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        error: io::Error,
    },
    /// A line is no `tenant=SECRET`.
    #[display("tokens file {}: {allowed}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is allowed.
        allowed: String,
    },
}

/// The known tokens as digests, each with the tenant it is scoped to.
#[derive(Clone)]
pub struct Tokens {
    list: Vec<([u8; 32], String)>,
}

/// Checks a list of `tenant=SECRET` entries; the error says what is allowed and no secret.
#[allow(clippy::ptr_arg)]
pub fn check_tokens(list: &Vec<String>) -> Result<(), String> {
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
    /// The tokens of a well-formed list.
    pub fn new(list: &[String]) -> Tokens {
        let split = list.iter().filter_map(|entry| entry.split_once('='));
        Tokens { list: split.map(|(tenant, secret)| (Sha256::digest(secret).into(), tenant.to_owned())).collect() }
    }

    /// Without any, nobody can read a view.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The tokens given as a setting and those of a file, one to a line; blank lines and those that
    /// begin with `#` are passed over. A fault never tells a secret.
    pub fn read(given: &[String], file: &Path) -> Result<Tokens, TokensError> {
        let mut all = given.to_vec();
        if !file.as_os_str().is_empty() {
            let text =
                std::fs::read_to_string(file).map_err(|error| TokensError::Unread { path: file.to_owned(), error })?;
            let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
            all.extend(lines.map(str::to_owned));
            check_tokens(&all).map_err(|allowed| TokensError::Malformed { path: file.to_owned(), allowed })?;
        }
        Ok(Tokens::new(&all))
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
