//! How long an instance keeps an idle connection open, as its `Keep-Alive` header announces it.

use std::time::Duration;

/// Keep-alive time of an instance that announces none. Instances announce whole seconds, if there are any, so a time
/// that is not announced may be shorter than one second.
const UNANNOUNCED: Duration = Duration::from_millis(900);
/// Longest keep-alive time that is relied on; the header may hold any number.
const MAX: Duration = Duration::from_secs(60);
/// Safety margin before the instance closes an idle connection: the time a request may take to reach the instance.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);

/// Keep-alive time of an instance, within bounds that can be added to any moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeepAlive(Duration);

impl KeepAlive {
    /// Of an instance that announces none.
    pub const DEFAULT: KeepAlive = KeepAlive(UNANNOUNCED);

    /// Parses the value of a `Keep-Alive` header. A time above the maximum is reduced to it; returns `None` if the
    /// value has no time in whole seconds.
    pub fn parse(parameters: &str) -> Option<KeepAlive> {
        let mut parts = parameters.split(',').filter_map(|part| part.trim().split_once('='));
        let (_, seconds) = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
        let announced = Duration::from_secs(seconds.trim().parse().ok()?).min(MAX);
        Some(KeepAlive(announced.saturating_sub(CLOSE_MARGIN.min(announced / 4))))
    }

    /// Whether a connection that has been idle for this time may be reused.
    pub fn allows_reuse_after(self, idle_time: Duration) -> bool {
        idle_time < self.0
    }
}

#[cfg(test)]
mod tests {
    use super::{KeepAlive, MAX};
    use std::time::Duration;
    use test_case::test_case;

    #[test_case("timeout=5", 4_700; "a margin is kept")]
    #[test_case("timeout=1", 750; "a quarter of a short time")]
    #[test_case("timeout=0", 0; "no reuse")]
    #[test_case("max=7, Timeout = 5 ", 4_700; "other parameters, case and spaces")]
    #[test_case("timeout=61", 59_700; "above the maximum")]
    #[test_case("timeout=9223372036854775807", 59_700; "more than a clock can add up to")]
    #[test_case("timeout=18446744073709551615", 59_700; "the largest number of 64 bits")]
    fn an_announced_time_is_taken_within_bounds(parameters: &str, expected_ms: u64) {
        assert_eq!(KeepAlive::parse(parameters), Some(KeepAlive(Duration::from_millis(expected_ms))));
    }

    #[test_case("" ; "empty")]
    #[test_case("max=5"; "no time")]
    #[test_case("timeout"; "no value")]
    #[test_case("timeout=-1"; "negative")]
    #[test_case("timeout=0.5"; "fraction")]
    #[test_case("timeout=18446744073709551616"; "more than 64 bits")]
    #[test_case("timeout=1e9"; "exponent")]
    fn a_header_without_a_time_in_whole_seconds_announces_none(parameters: &str) {
        assert_eq!(KeepAlive::parse(parameters), None);
    }

    #[test]
    fn a_connection_is_reused_within_its_keep_alive_time_only() {
        let keep_alive = KeepAlive::parse("timeout=18446744073709551615").expect("a time");
        assert!(keep_alive.allows_reuse_after(MAX / 2));
        assert!(!keep_alive.allows_reuse_after(MAX));
        assert!(!keep_alive.allows_reuse_after(Duration::MAX));
    }
}
