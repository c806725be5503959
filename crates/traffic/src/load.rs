//! The load on a function just now: what arrived within about the last second and what is held, as the
//! slots that it keeps in use. A plan is made of whole samples and lags behind a crowd by some of them.

use crate::desk::Desk;
use std::collections::VecDeque;
use std::time::Duration;

const KEPT: Duration = Duration::from_secs(1);
const LEAST: Duration = Duration::from_millis(300);

/// Arrivals by the pass that counted them.
#[derive(Default)]
pub struct Load {
    passes: VecDeque<(Duration, u32)>,
    counted: u32,
    total: u32,
}

impl Load {
    /// `arrivals` goes up with each task and back to zero with each sample.
    pub fn pass(&mut self, now: Duration, arrivals: u32) {
        let news = if arrivals >= self.counted { arrivals - self.counted } else { arrivals };
        self.counted = arrivals;
        if news > 0 {
            self.passes.push_back((now, news));
            self.total += news;
        }
        while let Some((_, old)) = self.passes.pop_front_if(|(at, _)| now >= *at + KEPT) {
            self.total -= old;
        }
    }

    /// Tasks a second.
    pub fn rate(&self, now: Duration) -> f64 {
        let since = self.passes.front().map_or(KEPT, |(at, _)| now.saturating_sub(*at));
        f64::from(self.total) / since.clamp(LEAST, KEPT).as_secs_f64()
    }
}

/// The most that was wanted within the time a start takes: an instance taken back sooner would have
/// to be started again by the next swing.
#[derive(Default)]
pub struct Peak {
    count: u32,
    at: Duration,
}

impl Peak {
    pub fn pass(&mut self, now: Duration, wanted: u32, boot: Duration) -> u32 {
        if wanted >= self.count || now > self.at + boot {
            (self.count, self.at) = (wanted, now);
        }
        self.count
    }
}

impl Desk {
    /// The instances that the arrivals of the last second and what is held take, if what is held is
    /// to be worked off within a second.
    pub fn live(&self, now: Duration) -> u32 {
        let mean = self.answer_mean().as_secs_f64();
        let tasks = self.load.rate(now) + self.held.len() as f64;
        let slots = tasks * mean;
        if tasks == 0.0 { 0 } else { (slots / self.capacity()).ceil() as u32 }
    }
}
