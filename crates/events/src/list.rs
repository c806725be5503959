//! The catalogue in code. A number is never used again for another meaning.

use log::Level;

pub struct Event {
    pub number: u16,
    pub level: Level,
    pub title: &'static str,
}

macro_rules! catalogue {
    ($( $name:ident = $number:literal, $level:ident, $title:literal; )*) => {
        pub struct Catalogue { $( pub $name: Event, )* }
        pub const EVENTS: Catalogue = Catalogue {
            $( $name: Event { number: $number, level: Level::$level, title: $title }, )*
        };
        impl Catalogue {
            pub fn all(&self) -> Vec<&Event> { vec![$( &self.$name, )*] }
        }
    };
}

catalogue! {
    started = 1, Info, "program started";
    stopping = 2, Info, "planned stop begun";
    stopped = 3, Info, "program stopped";
    settings_taken = 5, Info, "changed settings taken";
    settings_refused = 6, Error, "changed settings refused, kept as they were";
    inbox_full = 4, Warn, "inbox full, message refused";
    link_up = 101, Info, "link up";
    link_down = 102, Info, "link down";
    frame_refused = 103, Warn, "frame refused, link closed";
    view_adopted = 201, Info, "view adopted";
    copy_installed = 202, Info, "checkpoint installed";
    missed_taken = 205, Info, "missed entries taken";
    disk_fault = 203, Error, "disk fault, member out of the chain";
    disk_back = 206, Info, "disk has room again, member starts from it";
    disk_waited = 207, Warn, "disk full at the start, waiting for room";
    founding = 204, Info, "cluster founded";
    step_staged = 301, Info, "configuration step staged";
    step_activated = 302, Info, "configuration step activated";
    change_refused = 303, Info, "configuration change refused";
    member_joined = 401, Info, "router joined";
    member_lapsed = 402, Warn, "router hold lapsed";
    member_leaving = 403, Info, "router leaving";
    proof_lost = 404, Warn, "proof of revision lost, tasks wait";
    proof_back = 405, Info, "proof of revision back";
    peer_proof = 406, Warn, "revision proved by peers, core not reached";
    start_ordered = 501, Info, "instance start ordered";
    stop_ordered = 502, Info, "instance stop ordered";
    instance_doubted = 503, Warn, "instance answer in doubt, connection dropped";
    turned_away = 504, Warn, "instance turned a task away";
    platform_refused = 505, Warn, "platform call not carried out";
    home_taken = 506, Info, "function home taken over";
    plan_received = 601, Debug, "plan received";
    plan_fallback = 602, Warn, "no plan, fallback count held";
    plan_fault = 603, Warn, "fit or solve failed, fallback given";
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_catalogue_in_the_docs_and_the_one_in_code_are_equal() {
        let page = include_str!("../../../docs/events.md");
        let mut told: Vec<String> = page
            .lines()
            .filter(|line| line.starts_with("| E"))
            .map(|line| line.split('|').skip(1).take(3).map(str::trim).collect::<Vec<_>>().join(" "))
            .collect();
        let mut coded: Vec<String> = EVENTS
            .all()
            .iter()
            .map(|e| format!("E{:04} {} {}", e.number, e.level.as_str().to_lowercase(), e.title))
            .collect();
        told.sort();
        coded.sort();
        assert_eq!(told, coded);
        coded.dedup_by_key(|line| line[..5].to_owned());
        assert_eq!(coded.len(), EVENTS.all().len());
    }
}
