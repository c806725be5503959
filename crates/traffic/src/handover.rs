//! Homes moving: a desk opened for a function gained, waiting for the old home's table or, after
//! a crash without one kept here, for the platform's list and a pause; and a desk closing for a
//! function lost, which hands its table over, gives back what was never dispatched and finishes what was.

use crate::desk::Desk;
use crate::home::Home;
use crate::home_types::{HomeOutput, HomeTask, Ledger, Place};
use bindings::Book;
use events::event;
use std::rc::Rc;
use std::time::Duration;
use wire::CarryMsg;

const REPEAT: Duration = Duration::from_millis(200);
const FOREIGN_ON_CRASH: Duration = Duration::from_millis(400);

impl Home {
    /// Opens and closes desks so that they are those of the book's functions homed here.
    pub(crate) fn align_desks(&mut self) {
        let Some(book) = self.book.clone() else { return };
        if self.roster.number == 0 {
            return;
        }
        let now = self.now;
        let mut begun_anew = Vec::new();
        for function in book.functions() {
            let mine = self.is_home(&function.name);
            match self.desks.get_mut(&function.name) {
                Some(desk) => {
                    desk.function = function.clone();
                    if mine && desk.leaving.is_some() {
                        (desk.leaving, desk.taken) = (None, self.roster.number);
                        desk.begin_anew(now);
                        begun_anew.push(function.name.clone());
                    }
                }
                None if mine => {
                    event!(home_taken, "{}", function.name);
                    let desk = Desk::new(now, function.clone(), self.roster.number, &self.timing.allowances);
                    self.desks.insert(function.name.clone(), desk);
                    self.take_kept(&function.name);
                    begun_anew.push(function.name.clone());
                }
                None => {}
            }
        }
        // What the store listed before another home was home is outdated.
        self.asks.retain(|_, ask| ask.kind != Ledger::Deferred || !begun_anew.contains(&ask.function));
        let names: Vec<String> = self.desks.keys().cloned().collect();
        for name in names {
            let next = self.roster.home(&name).filter(|home| *home != self.me);
            let bound = book.function(&name).is_some();
            let Some(desk) = self.desks.get_mut(&name) else { continue };
            match next {
                Some(next) if desk.leaving.is_none_or(|(known, _)| known != next) => {
                    desk.leaving = Some((next, now));
                    let held: Vec<u64> = desk.held.drain(..).collect();
                    held.into_iter().for_each(|number| self.send_back(number));
                    self.hand_over(&name);
                }
                None if !bound => {
                    let held: Vec<u64> = desk.held.iter().copied().collect();
                    held.into_iter().for_each(|number| self.send_back(number));
                }
                _ => {}
            }
        }
        self.apply_tuned();
        self.drop_moved_deferred();
    }

    /// A function that the book before did not have had no home: nothing is to be waited for.
    pub(crate) fn open_new(&mut self, before: Option<Rc<Book>>) {
        let Some(before) = before else { return };
        for (name, desk) in &mut self.desks {
            if desk.adopting == Some((self.now, false)) && before.function(name).is_none() {
                desk.adopting = None;
            }
        }
    }

    fn drop_moved_deferred(&mut self) {
        self.drop_deferred(|home, function| !home.is_home(function));
    }

    /// Stored tasks held here and not being run: whoever is home finds them in the chain.
    pub(crate) fn drop_deferred(&mut self, which: impl Fn(&Home, &str) -> bool) {
        let held = |task: &HomeTask| task.stored.is_some() && task.place == Place::Held;
        let dropped: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| held(task) && which(self, &task.function))
            .map(|(number, _)| *number)
            .collect();
        for number in dropped {
            self.accept(number);
            self.forget(number);
        }
    }

    fn hand_over(&mut self, name: &str) {
        let now = self.now;
        let Some(desk) = self.desks.get_mut(name) else { return };
        let Some((next, _)) = desk.leaving else { return };
        desk.leaving = Some((next, now));
        if let Some(table) = self.table_of(name, false) {
            self.outs.push(HomeOutput::Carry { to: next, message: CarryMsg::Table { table } });
        }
    }

    /// Ends adoptions whose time has come, and closes desks that have nothing left to finish.
    pub(crate) fn handover_pass(&mut self) {
        let now = self.now;
        for desk in self.desks.values_mut() {
            if desk.adopting.is_some() && !self.may_serve {
                desk.adopting = Some((now, false));
                continue;
            }
            if let Some((since, listed)) = desk.adopting
                && ((listed && now > since + FOREIGN_ON_CRASH / 2) || now > since + self.timing.adopt)
            {
                desk.adopting = None;
                desk.risk.be_careful(now);
                desk.budget.be_careful(now);
                for instance in desk.instances.values_mut() {
                    instance.allowed = (desk.function.instance_limit / 2).max(1);
                    instance.allowed_at = now;
                    instance.foreign = 1;
                    instance.foreign_until = now + FOREIGN_ON_CRASH / 2;
                }
            }
        }
        let due: Vec<String> = self
            .desks
            .iter()
            .filter(|(_, desk)| desk.leaving.is_some_and(|(_, at)| now >= at + REPEAT))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.hand_over(&name);
            let done = self.desks.get(&name).is_some_and(|desk| desk.in_flight == 0 && desk.held.is_empty());
            if done {
                self.desks.remove(&name);
            }
        }
    }
}
