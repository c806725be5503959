//! Watches settings that may change while a program runs, with or without a SIGHUP: they are read again at
//! each SIGHUP and every few seconds, and a result that differs from the last one is reported once.

use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Interval between two readings without a SIGHUP.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings again until the program ends and reports each change. An error is reported once, and
/// again only if a different result came in between.
pub async fn watch_settings<T: PartialEq + Clone>(
    first: T,
    read: impl Fn() -> Result<T, String>,
    report: impl AsyncFn(Result<T, String>),
) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    let mut last = Ok(first);
    loop {
        tokio::select! {
            _ = hangups.recv() => {}
            _ = tokio::time::sleep(READ_INTERVAL) => {}
        }
        let current = read();
        if current != last {
            last = current.clone();
            report(current).await;
        }
    }
}
