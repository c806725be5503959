//! The data plane during a planned stop. The thread of the data plane ends with its last open request, whoever its caller
//! is connected to; at the end of the grace period the requests that are still open are given up.

use crate::data_plane::{DataPlane, Input};
use crate::front_types::FrontInput;
use crate::owner_types::OwnerInput;
use crate::stop_stage::StopStage;

impl DataPlane {
    /// Returns whether a planned stop is in progress.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stop_stage.borrow() > StopStage::Serving
    }

    /// Returns whether no request is open here, neither of this router's callers nor of others.
    pub(crate) fn is_drained(&self) -> bool {
        self.front.request_count() == 0 && self.owner.is_idle()
    }

    /// Does what a new stage of a planned stop asks for when it begins. The owner gives up first, since its answers also
    /// go to the front of this router.
    pub(crate) fn maybe_enter_stop_stage(&mut self) {
        let stage = *self.stop_stage.borrow();
        if std::mem::replace(&mut self.entered_stage, stage) != stage && stage == StopStage::GivingUp {
            self.process(Input::FunctionOwner(OwnerInput::GiveUp));
            self.process(Input::Front(FrontInput::GiveUp));
        }
    }
}
