//! How many requests of a function may be on the way to proven instances at once, without an answer that tells
//! whether they were rejected. A congestion window: it grows by answers while it holds requests up, and falls to half with each
//! rejection, so that what a function is served follows what its instances bear and not a fixed rate.

/// What is left of growth that is not used, and of the count of answers, after a pass: ten are made a second, so that
/// answers count for about five seconds.
const RETAINED: f64 = 0.98;
/// Rejections are rare while so many requests are answered for each. At such a rate they come from requests and connections
/// that cross each other, not from instances that bear less than they did.
const ANSWERS_PER_REJECTION: f64 = 100.0;

/// The window of one function. While any of the allowance for rejections is left, it is never in force below that.
#[derive(Clone, Debug)]
pub struct SendWindow {
    initial: f64,
    size: f64,
    /// Answers lately, each decayed by its age.
    answers: f64,
    /// Whether it held up a request when one was last to be sent.
    is_limiting: bool,
}

/// What a window goes by beside its own answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Rejections within the users' window.
    pub rejections: usize,
    /// How many more are allowed in it.
    pub left: usize,
}

impl SendWindow {
    /// A window that begins with so many requests.
    pub fn new(initial: usize) -> SendWindow {
        let initial = initial as f64;
        SendWindow { initial, size: initial, answers: 0.0, is_limiting: false }
    }

    /// Whether one more may be sent beside so many. What is left of the allowance may be in any case, and nothing once
    /// none is left.
    pub fn may_send(&mut self, on_the_way: usize, left: usize) -> bool {
        self.is_limiting = left == 0 || on_the_way >= self.whole_size().max(left);
        !self.is_limiting
    }

    /// An instance answered. Whole windows of answers make room for one more request each, while rejections are rare.
    pub fn answered(&mut self, allowance: Allowance) {
        self.answers += 1.0;
        let are_rare = self.answers >= allowance.rejections as f64 * ANSWERS_PER_REJECTION;
        if self.is_limiting && are_rare {
            self.size = self.size.max(allowance.left as f64);
            self.size += 1.0 / self.size.max(1.0);
        }
    }

    /// An instance rejected a request.
    pub fn rejected(&mut self) {
        self.size /= 2.0;
    }

    /// A pass: growth that is not used, and answers, are forgotten little by little.
    pub fn fade(&mut self) {
        self.answers *= RETAINED;
        if self.size > self.initial {
            self.size = self.initial.max(self.size * RETAINED);
        }
    }

    fn whole_size(&self) -> usize {
        self.size as usize
    }
}

#[cfg(test)]
#[path = "send_window_tests.rs"]
mod tests;
