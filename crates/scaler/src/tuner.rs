//! Tuning weight sheets by what was measured, slowly and within their bounds. A function that was
//! short (tasks refused, turned away or kept waiting though instances ran) is planned with a lower
//! usage and a higher shortfall penalty; one that was calm for long goes back, and a little beyond
//! where its bounds allow it. The startup delay follows the boots that were seen. The sheet as declared
//! stays as it is: what is in force is a view beside it, and says why.

use crate::window::STEP;
use bindings::{Function, WeightSheet};
use std::collections::BTreeMap;
use std::time::Duration;

const REST: u32 = 4;
const CALM: u32 = 40;
const LOWER: f64 = 0.02;
const RAISE: f64 = 0.01;
const SHARPER: f64 = 1.1;
const MILDER: f64 = 0.95;
const WAITING: f64 = 0.5;
const AGREEING: u32 = 3;

/// What a home saw of one function in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measure {
    pub boot: Duration,
    pub boots: u32,
    pub refused: u32,
    pub turned: u32,
    pub waiting: f64,
    pub usage: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tuned {
    pub startup_delay_steps: u32,
    pub target_usage: f64,
    pub sla_hard: f64,
    pub why: String,
}

#[derive(Clone, Debug)]
struct Track {
    tuned: Tuned,
    declared: WeightSheet,
    boot: Duration,
    agreeing: u32,
    rest: u32,
    calm: u32,
}

pub struct Tuner {
    step: Duration,
    tracks: BTreeMap<String, Track>,
}

fn declared(sheet: &WeightSheet) -> Tuned {
    let WeightSheet { startup_delay_steps, target_usage, sla_hard, .. } = *sheet;
    Tuned { startup_delay_steps, target_usage, sla_hard, why: String::new() }
}

impl Track {
    fn new(sheet: &WeightSheet) -> Track {
        let tuned = declared(sheet);
        Track { tuned, declared: sheet.clone(), boot: Duration::ZERO, agreeing: 0, rest: 0, calm: 0 }
    }

    fn take(&mut self, measure: Measure, step: Duration) {
        self.follow_boots(measure, step);
        let short = measure.refused > 0 || measure.turned > 0 || measure.waiting > WAITING;
        self.calm = if short { 0 } else { self.calm + 1 };
        self.rest = self.rest.saturating_sub(1);
        if self.rest > 0 {
            return;
        }
        if short {
            self.rest = REST;
            let Measure { refused, turned, waiting, .. } = measure;
            self.move_to(
                -LOWER,
                SHARPER,
                format!("short: {refused} refused, {turned} turned away, {waiting:.2} waiting"),
            );
        } else if self.calm >= CALM {
            self.calm = CALM / 2;
            self.rest = REST;
            let room = measure.usage < self.tuned.target_usage;
            self.move_to(if room { RAISE } else { 0.0 }, MILDER, "calm for ten minutes".into());
        }
    }

    fn move_to(&mut self, usage: f64, hard: f64, why: String) {
        let before = (self.tuned.target_usage, self.tuned.sla_hard);
        if let Some(bounds) = self.declared.usage_bounds() {
            self.tuned.target_usage = bounds.keep(self.tuned.target_usage + usage);
        }
        if let Some(bounds) = self.declared.hard_bounds() {
            self.tuned.sla_hard = bounds.keep(self.tuned.sla_hard * hard);
        }
        if before != (self.tuned.target_usage, self.tuned.sla_hard) {
            self.tuned.why = why;
        }
    }

    fn follow_boots(&mut self, measure: Measure, step: Duration) {
        let Some(bounds) = self.declared.delay_bounds().filter(|_| measure.boots > 0) else { return };
        self.boot = if self.boot.is_zero() { measure.boot } else { (self.boot * 3 + measure.boot) / 4 };
        let seen = (self.boot.as_secs_f64() / step.as_secs_f64()).ceil().max(1.0);
        let wanted = bounds.keep(seen) as u32;
        let steps = self.tuned.startup_delay_steps;
        self.agreeing = if wanted == steps { 0 } else { self.agreeing + 1 };
        if self.agreeing >= AGREEING {
            self.agreeing = 0;
            self.tuned.startup_delay_steps = if wanted > steps { steps + 1 } else { steps - 1 };
            self.tuned.why = format!("instances took {:.1} s to start", self.boot.as_secs_f64());
        }
    }
}

impl Default for Tuner {
    fn default() -> Self {
        Tuner::new(STEP)
    }
}

impl Tuner {
    /// `step` is the time between two measures of a function.
    pub fn new(step: Duration) -> Tuner {
        Tuner { step, tracks: BTreeMap::new() }
    }

    pub fn take(&mut self, function: &Function, measure: Measure) {
        let track = self.tracks.entry(function.name.clone()).or_insert_with(|| Track::new(&function.sheet));
        if track.declared != function.sheet {
            *track = Track::new(&function.sheet);
        }
        track.take(measure, self.step);
    }

    /// Goes on from what an earlier host had in force.
    pub fn adopt(&mut self, function: &Function, tuned: Tuned) {
        let mut track = Track::new(&function.sheet);
        let keep =
            |bounds: Option<bindings::Bounds>, value: f64, declared: f64| bounds.map_or(declared, |b| b.keep(value));
        let sheet = &function.sheet;
        track.tuned = Tuned {
            startup_delay_steps: keep(
                sheet.delay_bounds(),
                f64::from(tuned.startup_delay_steps),
                f64::from(sheet.startup_delay_steps),
            ) as u32,
            target_usage: keep(sheet.usage_bounds(), tuned.target_usage, sheet.target_usage),
            sla_hard: keep(sheet.hard_bounds(), tuned.sla_hard, sheet.sla_hard),
            why: tuned.why,
        };
        self.tracks.insert(function.name.clone(), track);
    }

    pub fn keep_only(&mut self, known: impl Fn(&str) -> bool) {
        self.tracks.retain(|name, _| known(name));
    }

    /// What differs from the declared sheets.
    pub fn tuned(&self) -> impl Iterator<Item = (&String, &Tuned)> {
        self.tracks.iter().filter(|(_, track)| !track.tuned.why.is_empty()).map(|(name, track)| (name, &track.tuned))
    }

    /// The sheet in force for a function.
    pub fn in_force(&self, function: &Function) -> WeightSheet {
        let track = self.tracks.get(&function.name).filter(|track| track.declared == function.sheet);
        track.map_or_else(
            || function.sheet.clone(),
            |track| WeightSheet {
                startup_delay_steps: track.tuned.startup_delay_steps,
                target_usage: track.tuned.target_usage,
                sla_hard: track.tuned.sla_hard,
                ..function.sheet.clone()
            },
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn function(sheet: &str) -> Function {
        let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"ordinary"}"#;
        let pairs = [("function-bindings/t/f", binding), ("weight-sheets/t/f", sheet.as_bytes())];
        bindings::Book::build(1, 1, pairs.into_iter()).function("t/f").unwrap().clone()
    }

    fn after(sheet: &str, measure: Measure, count: u32) -> (Tuner, Function) {
        let (mut tuner, function) = (Tuner::default(), function(sheet));
        (0..count).for_each(|_| tuner.take(&function, measure));
        (tuner, function)
    }

    const SHORT: Measure = Measure { boot: Duration::ZERO, boots: 0, refused: 2, turned: 0, waiting: 0.0, usage: 0.5 };
    const SLOW: Measure =
        Measure { boot: Duration::from_secs(40), boots: 1, refused: 0, turned: 0, waiting: 0.0, usage: 0.5 };

    #[test]
    fn a_short_function_is_planned_with_more_room_slowly_and_within_its_bounds() {
        let (tuner, function) = after("{}", SHORT, 1);
        assert!((tuner.in_force(&function).target_usage - 0.58).abs() < 1e-9);
        let (tuner, function) = after("{}", SHORT, 4);
        assert!((tuner.in_force(&function).target_usage - 0.58).abs() < 1e-9, "a minute's rest between two moves");
        let (tuner, function) = after("{}", SHORT, 1000);
        let sheet = tuner.in_force(&function);
        assert_eq!((sheet.target_usage, sheet.sla_hard), (0.4, 800.0));
        assert_eq!(function.sheet.target_usage, 0.6, "what was declared stays");
        assert!(tuner.tuned().next().unwrap().1.why.contains("2 refused"));
    }

    #[test]
    fn a_calm_one_goes_back_and_slow_boots_are_planned_for() {
        let (mut tuner, function) = after("{}", SHORT, 1000);
        (0..4000).for_each(|_| tuner.take(&function, Measure { usage: 0.3, ..Measure::default() }));
        let sheet = tuner.in_force(&function);
        assert_eq!((sheet.target_usage, sheet.sla_hard), (0.75, 200.0));
        let (tuner, function) = after("{}", SLOW, 2);
        assert_eq!(tuner.in_force(&function).startup_delay_steps, 1, "not on the first look");
        let (tuner, function) = after("{}", SLOW, 100);
        assert_eq!(tuner.in_force(&function).startup_delay_steps, 3);
    }

    #[test]
    fn a_field_or_all_of_them_can_be_left_as_declared_and_a_new_sheet_begins_anew() {
        let (tuner, function) = after(r#"{"tuning":{"target_usage":{"on":false}}}"#, SHORT, 100);
        let sheet = tuner.in_force(&function);
        assert!(sheet.target_usage == 0.6 && sheet.sla_hard > 200.0);
        let (tuner, function) = after(r#"{"tuning":{"on":false}}"#, Measure { boots: 1, ..SHORT }, 100);
        assert_eq!((tuner.in_force(&function), tuner.tuned().count()), (function.sheet.clone(), 0));
        let (mut tuner, _) = after("{}", SHORT, 100);
        let anew = super::tests::function(r#"{"target_usage":0.7}"#);
        assert_eq!(tuner.in_force(&anew).target_usage, 0.7);
        tuner.take(&anew, Measure::default());
        assert_eq!(tuner.tuned().count(), 0);
    }

    #[test]
    fn the_next_host_goes_on_from_what_was_in_force_within_the_bounds() {
        let (tuner, function) = after("{}", SHORT, 20);
        let (_, tuned) = tuner.tuned().next().unwrap();
        let mut next = Tuner::default();
        next.adopt(&function, tuned.clone());
        assert_eq!(next.in_force(&function), tuner.in_force(&function));
        next.adopt(&function, Tuned { target_usage: 9.0, ..tuned.clone() });
        assert_eq!(next.in_force(&function).target_usage, 0.75);
    }
}
