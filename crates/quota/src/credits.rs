//! Credits of one consumer at one router. Each admits one request before it expires.

use std::collections::BTreeMap;
use std::time::Duration;

/// Credits by expiry time.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    by_expiry: BTreeMap<Duration, u32>,
}

impl Credits {
    pub(crate) fn add(&mut self, now: Duration, expires_at: Duration, count: u32) {
        if count > 0 && now < expires_at {
            *self.by_expiry.entry(expires_at).or_default() += count;
        }
    }

    /// Takes the credit that expires first. Returns its expiry time.
    pub(crate) fn take(&mut self, now: Duration) -> Option<Duration> {
        self.by_expiry.retain(|expires_at, _| now < *expires_at);
        let mut first = self.by_expiry.first_entry()?;
        let expires_at = *first.key();
        *first.get_mut() -= 1;
        if *first.get() == 0 {
            first.remove();
        }
        Some(expires_at)
    }

    pub(crate) fn is_empty(&self, now: Duration) -> bool {
        self.by_expiry.last_key_value().is_none_or(|(expires_at, _)| now >= *expires_at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_expired_credit_admits_nothing() {
        let ms = Duration::from_millis;
        let mut credits = Credits::default();
        credits.add(ms(0), ms(400), 1);
        credits.add(ms(0), ms(300), 2);
        assert_eq!(credits.take(ms(299)), Some(ms(300)));
        assert_eq!(credits.take(ms(300)), Some(ms(400)), "the second credit valid until 300 ms has expired");
        assert!(credits.is_empty(ms(300)) && credits.take(ms(300)).is_none());
        credits.add(ms(500), ms(500), 1);
        assert!(credits.is_empty(ms(500)));
    }
}
