//! Status page of the control thread: the configuration and the membership that a router has.

use crate::control_loop::Control;
use serde_json::json;

impl Control {
    pub(crate) fn publish_view(&self) {
        let membership = self.follower.membership();
        let members = membership.members.iter();
        let members: Vec<_> = members
            .map(|line| json!({"id": format!("{:016x}", line.id), "address": line.address.as_str(), "zone": line.zone.as_str(), "leaving": line.leaving != 0}))
            .collect();
        let page = json!({
            "program": "router", "id": format!("{:016x}", self.follower.me()),
            "revision": self.follower.revision(), "step": self.follower.active_epoch(),
            "staged": self.follower.staged_epoch(), "roster": membership.number, "members": members,
            "standing": format!("{:?}", self.serving_status), "tail": self.follower.tail().map(|id| format!("{id:016x}")),
        });
        self.view.send_if_modified(|old| {
            let text = page.to_string();
            let has_changed = *old != text;
            *old = text;
            has_changed
        });
    }
}
