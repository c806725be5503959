//! Route table: the configuration in the form that routers use, with lookups of routes, bindings, functions, caller
//! bounds and consumers. A new table is built for each revision and then shared.

use crate::consumer_index::ConsumerIndex;
use crate::declarations::{CallerBounds, FunctionDeclaration};
use crate::resources::{Class, FunctionBinding, HeadcountPlan, Kind, WeightSheet, default_rank};
use crate::routes::Routes;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Start time of functions that don't declare one.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(1);

/// Function with its settings from all resources, as routers use it.
#[derive(Clone, Debug)]
pub struct Function {
    /// Full name, `tenant/service`.
    pub name: String,
    /// Tenant that the function belongs to.
    pub tenant: String,
    /// Name of the function on the platform, without the tenant.
    pub service: String,
    /// Maximum number of concurrent requests per instance.
    pub instance_limit: u32,
    /// Memory of an instance, in MB.
    pub memory_mb: u32,
    /// Minimum number of instances.
    pub min: u32,
    /// Maximum number of instances.
    pub max: u32,
    /// Exact number of instances set by the operator, if any.
    pub fixed: Option<u32>,
    /// Priority of the function when instance starts are limited, 0 to 10.
    pub player_weight: f64,
    /// Costs and limits by which the function's instances are planned.
    pub sheet: WeightSheet,
    /// Average start time of an instance.
    pub boot_time: Duration,
    /// Shortest target response time of the bindings.
    pub latency_target: Option<Duration>,
    /// Rank of the binding that is served first; 0 is the first of all.
    pub rank: u32,
    /// Maximum number of connections per instance from all routers together.
    pub connections: u32,
    /// Maximum number of instances that a request may be sent to, over all bindings.
    pub attempts: u32,
    /// Whether the instances deduplicate requests by idempotency key themselves.
    pub deduplicates: bool,
}

/// Configuration of one epoch, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Revision of the configuration.
    pub revision: u64,
    /// Number of the epoch in which the revision became active.
    pub epoch: u64,
    routes: Routes,
    /// Bindings sorted by name.
    bindings: Vec<(String, FunctionBinding)>,
    functions: BTreeMap<String, Function>,
    bounds: Option<CallerBounds>,
    /// Functions with a binding of the deferred class.
    deferred_functions: BTreeSet<String>,
    consumers: ConsumerIndex,
    /// Declared resources as JSON by `kind/tenant/name`, if they are kept.
    declarations: BTreeMap<String, Vec<u8>>,
}

/// Parsed resources that are combined into functions, by `tenant/name`.
#[derive(Default)]
struct ParsedResources {
    sheets: BTreeMap<String, WeightSheet>,
    plans: BTreeMap<String, HeadcountPlan>,
    declarations: BTreeMap<String, FunctionDeclaration>,
}

/// Parses a resource and adds it to a map; a resource that can't be parsed is left out.
fn parse_into<T: DeserializeOwned>(map: &mut BTreeMap<String, T>, name: &str, value: &[u8]) {
    if let Ok(resource) = serde_json::from_slice(value) {
        map.insert(name.to_owned(), resource);
    }
}

impl RouteTable {
    /// Builds a table from pairs of `kind/tenant/name` and JSON. Resources that can't be parsed are left out.
    pub fn build<'a>(step: u64, revision: u64, pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> RouteTable {
        let mut table = RouteTable { revision, epoch: step, ..RouteTable::default() };
        let mut parsed = ParsedResources::default();
        let mut bindings: BTreeMap<String, FunctionBinding> = BTreeMap::new();
        for (key, value) in pairs {
            let Some((kind, name)) = key.split_once('/') else { continue };
            match Kind::from_name(kind) {
                Some(Kind::FunctionBinding) => parse_into(&mut bindings, name, value),
                Some(Kind::WeightSheet) => parse_into(&mut parsed.sheets, name, value),
                Some(Kind::HeadcountPlan) => parse_into(&mut parsed.plans, name, value),
                Some(Kind::Function) => parse_into(&mut parsed.declarations, name, value),
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
        for (name, declaration) in &parsed.declarations {
            let function = parsed.function(name, Some(declaration), None);
            table.functions.insert(name.clone(), function);
        }
        for (index, (name, binding)) in bindings.into_iter().enumerate() {
            table.routes.insert(&binding.host, &binding.route, index);
            let tenant = name.split('/').next().unwrap_or_default().to_owned();
            for (service, _) in binding.functions() {
                table.add_binding(&parsed, format!("{tenant}/{service}"), &binding);
            }
            table.bindings.push((name, binding));
        }
        for function in table.functions.values_mut().filter(|function| parsed.declarations.contains_key(&function.name))
        {
            function.ensure_warm_instance(&parsed);
        }
        table
    }

    /// Keeps the declared resources too, for routers that show them.
    pub fn with_declarations<'a>(mut self, pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> RouteTable {
        self.declarations = pairs.map(|(key, value)| (key.to_owned(), value.to_vec())).collect();
        self
    }

    /// Adds a function of a binding, or combines the binding's settings with those of the function's other bindings.
    fn add_binding(&mut self, parsed: &ParsedResources, name: String, binding: &FunctionBinding) {
        if binding.class == Class::Deferred {
            self.deferred_functions.insert(name.clone());
        }
        let function = self.functions.entry(name).or_insert_with_key(|name| parsed.function(name, None, Some(binding)));
        let latency_target = binding.aim_ms.map(|millis| Duration::from_millis(millis.into()));
        let is_first_binding = function.attempts == 0;
        function.player_weight =
            if is_first_binding { binding.player_weight } else { function.player_weight.max(binding.player_weight) };
        function.latency_target = function.latency_target.into_iter().chain(latency_target).min();
        function.rank = if is_first_binding { binding.rank } else { function.rank.min(binding.rank) };
        function.attempts = function.attempts.max(binding.attempts);
    }

    /// Returns the binding, with its name, of the longest route that matches the path: a route of the host or, if there
    /// is none, of any host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<(&str, &FunctionBinding)> {
        let (name, binding) = self.bindings.get(self.routes.find(host, path)?)?;
        Some((name, binding))
    }

    /// Returns a binding by its name `tenant/name`.
    pub fn binding(&self, name: &str) -> Option<&FunctionBinding> {
        let index = self.bindings.binary_search_by(|(known, _)| known.as_str().cmp(name)).ok()?;
        self.bindings.get(index).map(|(_, binding)| binding)
    }
    /// Returns a function by its name `tenant/service`.
    pub fn function(&self, name: &str) -> Option<&Function> {
        self.functions.get(name)
    }
    /// Iterates over all functions in order of their names.
    pub fn functions(&self) -> impl Iterator<Item = &Function> {
        self.functions.values()
    }
    /// Returns whether any binding of the function is of the deferred class.
    pub fn has_deferred_binding(&self, function: &str) -> bool {
        self.deferred_functions.contains(function)
    }
    /// Returns the strictest bounds on callers, if any tenant declares bounds.
    pub fn bounds(&self) -> Option<&CallerBounds> {
        self.bounds.as_ref()
    }
    /// Returns the declared consumers.
    pub fn consumers(&self) -> &ConsumerIndex {
        &self.consumers
    }
    /// Returns whether requests need an API key on routes that aren't public.
    pub fn keys_required(&self) -> bool {
        !self.consumers.is_empty() || self.bounds.as_ref().is_some_and(|bounds| bounds.keys_required)
    }
    /// Iterates over the declared resources by `kind/tenant/name`, if they are kept.
    pub fn declarations(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.declarations.iter().map(|(key, value)| (key.as_str(), value.as_slice()))
    }
    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.count()
    }
}

impl ParsedResources {
    /// Creates a function from its declaration or, if there is none, from the first binding that sends requests to it.
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
            boot_time: shape.boot_ms.map_or(DEFAULT_BOOT_TIME, |millis| Duration::from_millis(millis.into())),
            latency_target: None,
            rank: default_rank(),
            connections: shape.connections.unwrap_or(u32::MAX),
            attempts: 0,
            deduplicates: shape.deduplicates,
        }
    }
}

impl Function {
    /// Raises the minimum of a declared function to one instance if a start takes longer than its target response time,
    /// unless an operator's plan sets the minimum.
    fn ensure_warm_instance(&mut self, parsed: &ParsedResources) {
        let has_planned_min = parsed.plans.get(&self.name).is_some_and(|plan| plan.min.is_some());
        if !has_planned_min && self.latency_target.is_some_and(|target| target < self.boot_time) {
            self.min = self.min.max(1).min(self.max);
        }
    }
}
