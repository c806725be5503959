//! A configuration as a router reads it: routes to bindings, functions with their limits, sheet
//! and bounds. It is built anew for each revision and shared from then on.

use crate::resources::{Class, FunctionBinding, HeadcountPlan, Kind, WeightSheet};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Function {
    pub name: String,
    pub tenant: String,
    pub service: String,
    pub instance_limit: u32,
    pub memory_mb: u32,
    pub min: u32,
    pub max: u32,
    pub fixed: Option<u32>,
    pub player_weight: f64,
    pub sheet: WeightSheet,
}

#[derive(Clone, Debug, Default)]
pub struct Book {
    pub revision: u64,
    pub step: u64,
    routes: BTreeMap<String, String>,
    bindings: BTreeMap<String, FunctionBinding>,
    functions: BTreeMap<String, Function>,
    deferred: BTreeSet<String>,
    raw: BTreeMap<String, Vec<u8>>,
}

impl Book {
    pub fn build<'a>(step: u64, revision: u64, pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> Book {
        let mut book = Book { revision, step, ..Book::default() };
        let mut sheets: BTreeMap<String, WeightSheet> = BTreeMap::new();
        let mut plans: BTreeMap<String, HeadcountPlan> = BTreeMap::new();
        for (key, value) in pairs {
            let Some((kind, name)) = key.split_once('/') else { continue };
            book.raw.insert(key.to_owned(), value.to_vec());
            match Kind::from_word(kind) {
                Some(Kind::FunctionBinding) => {
                    if let Ok(binding) = serde_json::from_slice::<FunctionBinding>(value) {
                        book.routes.insert(binding.route.clone(), name.to_owned());
                        book.bindings.insert(name.to_owned(), binding);
                    }
                }
                Some(Kind::WeightSheet) => {
                    drop(serde_json::from_slice(value).map(|s| sheets.insert(name.to_owned(), s)))
                }
                Some(Kind::HeadcountPlan) => {
                    drop(serde_json::from_slice(value).map(|p| plans.insert(name.to_owned(), p)))
                }
                None => {}
            }
        }
        for (name, binding) in &book.bindings {
            let tenant = name.split('/').next().unwrap_or_default().to_owned();
            let function_name = format!("{tenant}/{}", binding.function);
            if binding.class == Class::Deferred {
                book.deferred.insert(function_name.clone());
            }
            let plan = plans.get(&function_name).cloned().unwrap_or_default();
            let max = plan.max.unwrap_or(binding.max).min(binding.max);
            let function = Function {
                name: function_name.clone(),
                tenant,
                service: binding.function.clone(),
                instance_limit: binding.instance_limit,
                memory_mb: binding.memory_mb,
                min: plan.min.unwrap_or(binding.min).min(max),
                max,
                fixed: plan.fixed,
                player_weight: binding.player_weight,
                sheet: sheets.get(&function_name).cloned().unwrap_or_default(),
            };
            let known = book.functions.entry(function_name).or_insert_with(|| function.clone());
            known.player_weight = known.player_weight.max(function.player_weight);
        }
        book
    }

    /// The longest bound route that is the path itself or a whole leading part of it.
    pub fn find_route(&self, path: &str) -> Option<(&str, &FunctionBinding)> {
        let mut rest = path;
        loop {
            if let Some(name) = self.routes.get(rest) {
                return Some((name, self.bindings.get(name)?));
            }
            rest = &rest[..rest.rfind('/')?];
        }
    }

    pub fn binding(&self, name: &str) -> Option<&FunctionBinding> {
        self.bindings.get(name)
    }
    pub fn function(&self, name: &str) -> Option<&Function> {
        self.functions.get(name)
    }
    pub fn functions(&self) -> impl Iterator<Item = &Function> {
        self.functions.values()
    }
    pub fn takes_deferred(&self, function: &str) -> bool {
        self.deferred.contains(function)
    }
    /// The resources as they were declared, by kind/tenant/name.
    pub fn declared(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.raw.iter().map(|(key, value)| (key.as_str(), value.as_slice()))
    }
    pub fn routes(&self) -> usize {
        self.routes.len()
    }
}
