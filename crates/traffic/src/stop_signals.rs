//! Signals by which the control thread directs the other threads in a planned stop.

use crate::stop_stage::StopStage;
use tokio::sync::watch;

/// How the control thread tells the other threads about a planned stop.
pub struct StopSignals {
    pub stage: watch::Sender<StopStage>,
    /// True once the listeners are to be closed.
    pub close_listeners: watch::Sender<bool>,
}

impl StopSignals {
    /// Publishes a stage if it is new.
    pub fn set_stage(&self, stage: StopStage) {
        self.stage.send_if_modified(|known| std::mem::replace(known, stage) != stage);
        let is_closing = stage >= StopStage::Draining;
        self.close_listeners.send_if_modified(|known| std::mem::replace(known, is_closing) != is_closing);
    }
}
