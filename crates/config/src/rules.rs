//! Checks for settings; the error of each describes what is allowed.

#![allow(clippy::ptr_arg)]

use crate::SettingValue;
use std::net::SocketAddr;

/// Maximum number of seed addresses.
const MAX_SEEDS: usize = 16;

/// Returns a check that allows values from `low` to `high`, inclusive.
pub fn in_range<T: PartialOrd + SettingValue + Copy + 'static>(low: T, high: T) -> impl Fn(&T) -> Result<(), String> {
    move |value| {
        if *value >= low && *value <= high {
            return Ok(());
        }
        Err(format!("allowed is {} to {}", low.format_value(), high.format_value()))
    }
}

/// Allows every value.
pub fn any_value<T>(_: &T) -> Result<(), String> {
    Ok(())
}

/// Allows 1 to 64 letters, digits, `-`, `_` or `.`.
pub fn identifier(value: &String) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=64).contains(&value.len()) && value.chars().all(is_allowed) {
        return Ok(());
    }
    Err("allowed are 1 to 64 letters, digits, '-', '_' or '.'".into())
}

/// Allows every value except the empty one.
pub fn non_empty(value: &String) -> Result<(), String> {
    if value.is_empty() { Err("it must be given".into()) } else { Ok(()) }
}

/// Allows an IP address with a port.
pub fn address(value: &String) -> Result<(), String> {
    value
        .parse::<SocketAddr>()
        .map(drop)
        .map_err(|_| "allowed is an IP number with a port, such as 127.0.0.1:7001".into())
}

/// Allows an IP address with a port, or an empty value.
pub fn address_or_none(value: &String) -> Result<(), String> {
    if value.is_empty() { Ok(()) } else { address(value) }
}

/// Allows a list of IP addresses with ports.
pub fn addresses(value: &Vec<String>) -> Result<(), String> {
    value.iter().try_for_each(address)
}

/// Allows 1 to 16 different IP addresses with ports.
pub fn seed_addresses(value: &Vec<String>) -> Result<(), String> {
    addresses(value)?;
    let distinct: std::collections::BTreeSet<&String> = value.iter().collect();
    let is_valid = (1..=MAX_SEEDS).contains(&value.len()) && distinct.len() == value.len();
    if is_valid { Ok(()) } else { Err(format!("allowed are 1 to {MAX_SEEDS} different addresses")) }
}
