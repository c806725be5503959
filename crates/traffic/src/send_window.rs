//! How many requests of a function may be on the way to proven instances at once, without an answer that tells
//! whether they were rejected. A congestion window: it grows by answers while it holds requests up, and falls to half with each
//! rejection, so that what a function is served follows what its instances bear and not a fixed rate.

/// What a window keeps of its growth with each pass in which nothing is rejected or answered.
const RETAINED: f64 = 0.99;

/// The window of one function. It is never in force below what the allowance for rejections leaves.
#[derive(Clone, Debug)]
pub struct SendWindow {
    initial: f64,
    size: f64,
    /// Whether it held up a request when one was last to be sent.
    is_limiting: bool,
}

impl SendWindow {
    /// A window that begins with so many requests.
    pub fn new(initial: usize) -> SendWindow {
        let initial = initial as f64;
        SendWindow { initial, size: initial, is_limiting: false }
    }

    /// Whether one more may be sent beside so many; `left` of the allowance may be sent in any case.
    pub fn may_send(&mut self, on_the_way: usize, left: usize) -> bool {
        self.is_limiting = on_the_way >= self.whole_size().max(left);
        !self.is_limiting
    }

    /// An instance answered. Whole windows of answers make room for one more request each.
    pub fn answered(&mut self, left: usize) {
        if self.is_limiting {
            self.size = self.size.max(left as f64);
            self.size += 1.0 / self.size.max(1.0);
        }
    }

    /// An instance rejected a request.
    pub fn rejected(&mut self) {
        self.size /= 2.0;
    }

    /// Growth that is not used is forgotten little by little.
    pub fn fade(&mut self) {
        self.size = self.size.min(self.initial.max(self.size * RETAINED));
    }

    fn whole_size(&self) -> usize {
        self.size as usize
    }
}

#[cfg(test)]
#[path = "send_window_tests.rs"]
mod tests;
