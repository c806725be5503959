//! Following settings that may change while a program runs, told by a hangup or not at all: they are
//! read again then and every few seconds, and what differs from the last reading is told once.

use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

const EVERY: Duration = Duration::from_secs(2);

/// Reads on for as long as the program runs; a fault is told once, and again after a good reading.
pub async fn watch_settings<T: PartialEq + Clone>(
    first: T,
    read: impl Fn() -> Result<T, String>,
    tell: impl AsyncFn(Result<T, String>),
) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    let mut last = Ok(first);
    loop {
        tokio::select! {
            _ = hangups.recv() => {}
            _ = tokio::time::sleep(EVERY) => {}
        }
        let now = read();
        if now != last {
            last = now.clone();
            tell(now).await;
        }
    }
}
