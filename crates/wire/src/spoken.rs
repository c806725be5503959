//! One message in an older format, while a fleet rolls from one program revision to the next. Format 2
//! put away what nobody read (who the tail is and its view, in `NotTail`; the successor in `Leave`) and
//! brought beats between routers, whole home tables and the entries a registry missed. Who understands only the format before hears
//! the older word, or nothing where it had none. Format 3 brought the
//! entry of a change with a declared revision, which a registry enters only where all speak it.

use crate::{CarryMsg, ChainMsg, HoldMsg, Message, PlanMsg};

pub fn spoken(message: Message, format: u16) -> Option<Message> {
    if format >= 2 {
        return Some(message);
    }
    match message {
        Message::Hold(HoldMsg::Seats { seats }) => Some(Message::Hold(HoldMsg::NotTail { tail: 0, view: 0, seats })),
        Message::Hold(HoldMsg::Leaving) => Some(Message::Hold(HoldMsg::Leave { successor: 0 })),
        Message::Chain(ChainMsg::SuffixAsk { .. }) => Some(Message::Chain(ChainMsg::CopyAsk { copy: 0, piece: 0 })),
        Message::Plan(PlanMsg::Measures { .. } | PlanMsg::Tuned { .. }) => None,
        Message::Carry(CarryMsg::Beat) => None,
        Message::Carry(CarryMsg::Table { table }) if table.kept != 0 => None,
        Message::Carry(CarryMsg::Table { table }) => Some(Message::Carry(CarryMsg::Handover {
            function: table.function,
            roster: table.roster,
            slots: table.slots,
            requests: table.requests,
            seconds: table.seconds,
        })),
        other => Some(other),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::HomeTable;

    #[test]
    fn format_one_hears_only_its_own_words() {
        let old = |message| spoken(message, 1);
        assert_eq!(old(Message::Carry(CarryMsg::Beat)), None);
        let table = HomeTable { function: "t/f".into(), roster: 4, requests: 9, turned: 3, ..HomeTable::default() };
        let kept = HomeTable { kept: 1, ..table.clone() };
        assert_eq!(old(Message::Carry(CarryMsg::Table { table: kept })), None);
        let handed = old(Message::Carry(CarryMsg::Table { table: table.clone() }));
        assert!(
            matches!(handed, Some(Message::Carry(CarryMsg::Handover { roster: 4, requests: 9, .. }))),
            "{handed:?}"
        );
        let seats = Message::Hold(HoldMsg::Seats { seats: vec!["a:1".into()].into() });
        assert!(matches!(old(seats.clone()), Some(Message::Hold(HoldMsg::NotTail { .. }))));
        assert!(matches!(old(Message::Hold(HoldMsg::Leaving)), Some(Message::Hold(HoldMsg::Leave { .. }))));
        assert_eq!(spoken(seats.clone(), 2), Some(seats));
    }
}
