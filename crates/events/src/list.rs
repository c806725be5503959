//! The catalogue of events. A number is never reused for another meaning.

use log::Level;

/// A kind of log event.
pub struct Event {
    /// Number written in each log line as `E` and four digits; operators' alerts match on it.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Title of the event; may be reworded as long as the number stays.
    pub title: &'static str,
}

macro_rules! catalogue {
    ($( $name:ident = $number:literal, $level:ident, $title:literal; )*) => {
        /// All events by name.
        pub struct Catalogue { $( #[doc = $title] pub $name: Event, )* }
        /// All events.
        pub const EVENTS: Catalogue = Catalogue {
            $( $name: Event { number: $number, level: Level::$level, title: $title }, )*
        };
        impl Catalogue {
            /// Returns all events in the order of declaration.
            pub fn all(&self) -> Vec<&Event> { vec![$( &self.$name, )*] }
        }
    };
}

catalogue! {
    started = 1, Info, "program started";
    shutdown_started = 2, Info, "graceful shutdown started";
    stopped = 3, Info, "program stopped";
    settings_applied = 5, Info, "changed settings applied";
    settings_rejected = 6, Error, "changed settings rejected, earlier ones stay in force";
    inbox_full = 4, Warn, "inbox full, message rejected";
    inbox_closed = 7, Warn, "inbox closed, its thread has ended, message lost";
    link_up = 101, Info, "link up";
    link_down = 102, Info, "link down";
    frame_rejected = 103, Warn, "frame rejected, link closed";
    view_adopted = 201, Info, "view adopted";
    snapshot_installed = 202, Info, "snapshot installed";
    missed_entries_applied = 205, Info, "missed entries applied";
    disk_failed = 203, Error, "disk failed, replica out of the chain";
    disk_recovered = 206, Info, "disk has capacity again, replica restarts from it";
    disk_full_at_start = 207, Warn, "disk full at start, waiting for capacity";
    departure_waits = 208, Info, "planned stop waits";
    departure_overdue = 209, Warn, "planned stop at its deadline, others may miss this replica";
    cluster_bootstrapped = 204, Info, "cluster bootstrapped";
    epoch_staged = 301, Info, "configuration epoch staged";
    epoch_activated = 302, Info, "configuration epoch activated";
    activation_delayed = 304, Warn, "staged configuration epoch waits";
    change_rejected = 303, Info, "configuration change rejected";
    change_invalid = 305, Warn, "invalid configuration change refused";
    member_joined = 401, Info, "router joined";
    lease_expired = 402, Warn, "router lease expired";
    member_leaving = 403, Info, "router leaving";
    serving_lease_lost = 404, Warn, "serving lease lost, requests wait";
    serving_lease_renewed = 405, Info, "serving lease renewed";
    lease_confirmed_by_peers = 406, Warn, "serving lease confirmed by peers, core not reached";
    membership_from_peer = 407, Warn, "newer membership learnt from a peer, core not reached";
    start_ordered = 501, Info, "instance start ordered";
    stop_ordered = 502, Info, "instance stop ordered";
    instance_answer_in_doubt = 503, Warn, "instance answer in doubt, connection dropped";
    instance_rejected_request = 504, Warn, "instance rejected a request";
    platform_call_failed = 505, Warn, "platform call failed";
    function_owner_changed = 506, Info, "function owner changed";
    queue_held_beside_free_slots = 507, Warn, "requests queue beside free slots, held by the rejection limit";
    consumer_over_limit = 508, Info, "consumer held at its limit";
    quota_granters_changed = 509, Info, "the granters of consumers' limits changed";
    callers_closed = 510, Info, "listener for callers closed, their connections have ended";
    requests_drained = 511, Info, "planned stop, no request is open";
    requests_given_up = 512, Warn, "planned stop near its deadline, requests given up";
    stop_overdue = 513, Warn, "planned stop at its deadline, requests or connections are cut";
    memory_short = 514, Warn, "memory or connections for callers run short";
    memory_sufficient = 515, Info, "memory and connections for callers suffice again";
    plan_received = 601, Debug, "plan received";
    plan_fallback = 602, Warn, "no plan, fallback count in force";
    plan_failed = 603, Warn, "fit or solve failed, fallback returned";
}
