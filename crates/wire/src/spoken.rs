//! One message in an older format, while a fleet rolls from one program revision to the next. Format 2
//! put away what nobody read (who the tail is and its view, in `NotTail`; the successor in `Leave`) and
//! brought beats between routers, whole home tables and the entries a registry missed. Who understands only the format before hears
//! the older word, or nothing where it had none. Format 3 brought the
//! entry of a change with a declared revision, which a registry enters only where all speak it, and
//! answers that tell the time to come back in milliseconds. Format 4 brought steps and the whole
//! configuration in packed parts, and differences of the roster; before, both came whole and unpacked.
//! It also brought what machines can carry, fronts that ask to be beaten, and the supplier's inventory
//! told by one home to the others. Format 5 brought a voter's report on when it last answered the tail
//! of the view before.

use crate::{CarryMsg, ChainMsg, HoldMsg, Message, PlanMsg, Text};

pub fn spoken(message: Message, format: u16) -> Option<Message> {
    let message = match message {
        message if format >= 5 => return Some(message),
        Message::Chain(ChainMsg::LastAnswered { .. }) => return None,
        message if format == 4 => return Some(message),
        Message::Hold(HoldMsg::Enrol { address, zone, ops, .. }) => Message::Hold(HoldMsg::Join { address, zone, ops }),
        Message::Carry(CarryMsg::Watch | CarryMsg::Inventory { .. } | CarryMsg::InventoryAsk) => return None,
        Message::Hold(HoldMsg::PartAsk { ask, whole, offset: 0, .. }) if whole != 0 => {
            Message::Hold(HoldMsg::FetchAll { ask, from: Text::default() })
        }
        Message::Hold(
            HoldMsg::PartAsk { .. }
            | HoldMsg::Part { .. }
            | HoldMsg::RosterChange { .. }
            | HoldMsg::PeerCollect { .. }
            | HoldMsg::PeerMajority { .. },
        ) => return None,
        message => message,
    };
    let message = match message {
        message if format >= 3 => return Some(message),
        Message::Carry(CarryMsg::Answer { task, outcome, status, again_ms, head, body }) => {
            let retry_after = again_ms.div_ceil(1000);
            Message::Carry(CarryMsg::Carried { task, outcome, status, retry_after, head, body })
        }
        other => other,
    };
    match message {
        message if format >= 2 => Some(message),
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
    use crate::{Blob, HomeTable, Outcome};

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

    #[test]
    fn formats_before_four_fetch_the_configuration_unpacked() {
        let ask = |offset| Message::Hold(HoldMsg::PartAsk { ask: 7, whole: 1, number: 0, offset });
        let fetch = Message::Hold(HoldMsg::FetchAll { ask: 7, from: Text::default() });
        assert_eq!([spoken(ask(0), 3), spoken(ask(9), 3), spoken(ask(9), 4)], [Some(fetch), None, Some(ask(9))]);
    }

    #[test]
    fn formats_before_three_hear_the_time_to_come_back_in_whole_seconds() {
        let (head, body) = (Blob::default(), Blob::default());
        let message = CarryMsg::Answer { task: 1, outcome: Outcome::NotRun, status: 503, again_ms: 1001, head, body };
        let answer = Message::Carry(message);
        for format in [1, 2] {
            let heard = spoken(answer.clone(), format);
            assert!(
                matches!(heard, Some(Message::Carry(CarryMsg::Carried { task: 1, retry_after: 2, .. }))),
                "{heard:?}"
            );
        }
        assert_eq!(spoken(answer.clone(), 3), Some(answer));
    }
}
