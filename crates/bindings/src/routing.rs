//! A configuration as a router reads it: routes to bindings, functions with their limits, sheet
//! and bounds. It is built anew for each revision and shared from then on.

use crate::consumer_index::ConsumerIndex;
use crate::declarations::{CallerBounds, FunctionDeclaration};
use crate::resources::{Class, FunctionBinding, HeadcountPlan, Kind, WeightSheet, rank};
use crate::routes::Routes;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const BOOT: Duration = Duration::from_secs(1);

/// A function with everything a router needs to know of it.
#[derive(Clone, Debug)]
pub struct Function {
    /// `tenant/service`.
    pub name: String,
    /// The tenant it belongs to.
    pub tenant: String,
    /// Its name at the platform.
    pub service: String,
    /// The most requests that one instance may have at once.
    pub instance_limit: u32,
    /// The memory an instance needs.
    pub memory_mb: u32,
    /// The fewest instances.
    pub min: u32,
    /// The most instances.
    pub max: u32,
    /// The operator's own count of instances, if there is one.
    pub fixed: Option<u32>,
    /// Which functions go first where starts are limited, 0 to 10.
    pub player_weight: f64,
    /// The weights of its planning.
    pub sheet: WeightSheet,
    /// How long an instance takes to start, on average.
    pub boot_time: Duration,
    /// The shortest aim of its bindings.
    pub latency_target: Option<Duration>,
    /// The highest rank of its bindings, 0 before all others.
    pub rank: u32,
    /// The most connections that one instance takes from all routers together.
    pub connections: u32,
    /// The most instances that a task of any of its bindings may be sent to.
    pub attempts: u32,
    /// Whether its instances keep a record of idempotency keys themselves.
    pub deduplicates: bool,
}

/// The configuration of one step, built for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The configuration's version.
    pub revision: u64,
    /// The numbered step by which the version became active.
    pub epoch: u64,
    routes: Routes,
    bindings: Vec<(String, FunctionBinding)>,
    functions: BTreeMap<String, Function>,
    bounds: Option<CallerBounds>,
    deferred: BTreeSet<String>,
    consumers: ConsumerIndex,
    raw: BTreeMap<String, Vec<u8>>,
}

#[derive(Default)]
struct Read {
    sheets: BTreeMap<String, WeightSheet>,
    plans: BTreeMap<String, HeadcountPlan>,
    declarations: BTreeMap<String, FunctionDeclaration>,
}

fn put<T: DeserializeOwned>(list: &mut BTreeMap<String, T>, name: &str, value: &[u8]) {
    if let Ok(read) = serde_json::from_slice(value) {
        list.insert(name.to_owned(), read);
    }
}

impl RouteTable {
    /// Builds it from the declared resources, by kind/tenant/name; what cannot be read is left out.
    pub fn build<'a>(step: u64, revision: u64, pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> RouteTable {
        let mut table = RouteTable { revision, epoch: step, ..RouteTable::default() };
        let mut read = Read::default();
        let mut bindings: BTreeMap<String, FunctionBinding> = BTreeMap::new();
        for (key, value) in pairs {
            let Some((kind, name)) = key.split_once('/') else { continue };
            match Kind::from_name(kind) {
                Some(Kind::FunctionBinding) => put(&mut bindings, name, value),
                Some(Kind::WeightSheet) => put(&mut read.sheets, name, value),
                Some(Kind::HeadcountPlan) => put(&mut read.plans, name, value),
                Some(Kind::Function) => put(&mut read.declarations, name, value),
                Some(Kind::Bounds) => {
                    if let Ok(bounds) = serde_json::from_slice::<CallerBounds>(value) {
                        table.bounds = Some(table.bounds.take().unwrap_or_default().strictest(&bounds));
                    }
                }
                Some(Kind::Consumer) => {
                    if let Ok(consumer) = serde_json::from_slice(value) {
                        table.consumers.insert(name, consumer);
                    }
                }
                None => {}
            }
        }
        for (name, declaration) in &read.declarations {
            let function = read.function(name, Some(declaration), None);
            table.functions.insert(name.clone(), function);
        }
        for (place, (name, binding)) in bindings.into_iter().enumerate() {
            table.routes.put(&binding.host, &binding.route, place);
            let tenant = name.split('/').next().unwrap_or_default().to_owned();
            for (service, _) in binding.functions() {
                table.bind(&read, format!("{tenant}/{service}"), &binding);
            }
            table.bindings.push((name, binding));
        }
        for function in table.functions.values_mut().filter(|function| read.declarations.contains_key(&function.name)) {
            function.keep_warm(&read);
        }
        table
    }

    /// Keeps the resources as they were declared as well, for those who are to show them.
    pub fn with_declarations<'a>(mut self, pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> RouteTable {
        self.raw = pairs.map(|(key, value)| (key.to_owned(), value.to_vec())).collect();
        self
    }

    fn bind(&mut self, read: &Read, name: String, binding: &FunctionBinding) {
        if binding.class == Class::Deferred {
            self.deferred.insert(name.clone());
        }
        let known = self.functions.entry(name).or_insert_with_key(|name| read.function(name, None, Some(binding)));
        let aim = binding.aim_ms.map(|aim| Duration::from_millis(aim.into()));
        let first = known.attempts == 0;
        known.player_weight =
            if first { binding.player_weight } else { known.player_weight.max(binding.player_weight) };
        known.latency_target = known.latency_target.into_iter().chain(aim).min();
        known.rank = if first { binding.rank } else { known.rank.min(binding.rank) };
        known.attempts = known.attempts.max(binding.attempts);
    }

    /// The longest route of the host, or else of no host in particular, that the path belongs to.
    pub fn find_route(&self, host: &str, path: &str) -> Option<(&str, &FunctionBinding)> {
        let (name, binding) = self.bindings.get(self.routes.find(host, path)?)?;
        Some((name, binding))
    }

    /// A function binding, by `tenant/name`.
    pub fn binding(&self, name: &str) -> Option<&FunctionBinding> {
        let place = self.bindings.binary_search_by(|(known, _)| known.as_str().cmp(name)).ok()?;
        self.bindings.get(place).map(|(_, binding)| binding)
    }
    /// A function, by `tenant/name`.
    pub fn function(&self, name: &str) -> Option<&Function> {
        self.functions.get(name)
    }
    /// All functions, by name.
    pub fn functions(&self) -> impl Iterator<Item = &Function> {
        self.functions.values()
    }
    /// Whether some binding of the function is of the deferred class.
    pub fn has_deferred_binding(&self, function: &str) -> bool {
        self.deferred.contains(function)
    }
    /// The least bounds on callers, if any tenant declares some.
    pub fn bounds(&self) -> Option<&CallerBounds> {
        self.bounds.as_ref()
    }
    /// Whoever calls with an API key.
    pub fn consumers(&self) -> &ConsumerIndex {
        &self.consumers
    }
    /// Whether requests need an API key on routes that aren't public.
    pub fn keys_required(&self) -> bool {
        !self.consumers.is_empty() || self.bounds.as_ref().is_some_and(|bounds| bounds.keys_required)
    }
    /// The resources as they were declared, where they are kept, by kind/tenant/name.
    pub fn declarations(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.raw.iter().map(|(key, value)| (key.as_str(), value.as_slice()))
    }
    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.count()
    }
}

impl Read {
    /// A function as it is declared itself, or else as the first binding that sends to it says.
    fn function(
        &self,
        name: &str,
        declared: Option<&FunctionDeclaration>,
        binding: Option<&FunctionBinding>,
    ) -> Function {
        let (tenant, service) = name.split_once('/').unwrap_or_default();
        let from_binding = |binding: &FunctionBinding| FunctionDeclaration {
            memory_mb: binding.memory_mb,
            instance_limit: binding.instance_limit,
            min: binding.min,
            max: binding.max,
            ..FunctionDeclaration::default()
        };
        let shape = declared.cloned().or_else(|| binding.map(from_binding)).unwrap_or_default();
        let plan = self.plans.get(name).cloned().unwrap_or_default();
        let max = plan.max.unwrap_or(shape.max).min(shape.max);
        Function {
            name: name.to_owned(),
            tenant: tenant.to_owned(),
            service: service.to_owned(),
            instance_limit: shape.instance_limit,
            memory_mb: shape.memory_mb,
            min: plan.min.unwrap_or(shape.min).min(max),
            max,
            fixed: plan.fixed,
            player_weight: 1.0,
            sheet: self.sheets.get(name).cloned().unwrap_or_default(),
            boot_time: shape.boot_ms.map_or(BOOT, |boot| Duration::from_millis(boot.into())),
            latency_target: None,
            rank: rank(),
            connections: shape.connections.unwrap_or(u32::MAX),
            attempts: 0,
            deduplicates: shape.deduplicates,
        }
    }
}

impl Function {
    /// A declared function that a cold start could never serve within its aim keeps one instance at
    /// least, unless an operator's plan says otherwise.
    fn keep_warm(&mut self, read: &Read) {
        let planned = read.plans.get(&self.name).is_some_and(|plan| plan.min.is_some());
        if !planned && self.latency_target.is_some_and(|aim| aim < self.boot_time) {
            self.min = self.min.max(1).min(self.max);
        }
    }
}
