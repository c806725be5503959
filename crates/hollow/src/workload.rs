//! The configuration a hollow fleet is given, and the instances its awake functions are said to
//! have. Every kind of text the platform or the operators would send is made here alone.

use instance_provider::{InstanceLine, InstanceState, Listing};
use serde_json::{Map, Value, json};

#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub functions: usize,
    pub awake: usize,
    pub instances: usize,
}

const TENANTS: usize = 64;

impl Workload {
    pub fn name(&self, number: usize) -> String {
        format!("t{:02}/f{number:05}", number % TENANTS)
    }

    pub fn number(name: &str) -> Option<usize> {
        name.rsplit_once("/f")?.1.parse().ok()
    }

    /// Instances of one function: the first few awake ones share the rest of the division.
    pub fn instances_of(&self, number: usize) -> usize {
        if number >= self.awake {
            return 0;
        }
        self.instances / self.awake + usize::from(number < self.instances % self.awake)
    }

    pub fn binding(&self, number: usize, deadline_ms: u32) -> Value {
        let name = self.name(number);
        let least = self.instances_of(number);
        json!({
            "route": format!("/{name}"), "function": name.split_once('/').map_or("", |(_, word)| word),
            "class": "ordinary", "deadline_ms": deadline_ms, "instance_limit": 4, "memory_mb": 256,
            "min": least, "max": 1000,
        })
    }

    pub fn key(&self, number: usize) -> String {
        format!("function-bindings/{}", self.name(number))
    }

    /// The whole configuration as an operator would put it.
    pub fn configuration(&self) -> Vec<u8> {
        let list: Map<String, Value> = (0..self.functions).map(|n| (self.name(n), self.binding(n, 4000))).collect();
        json!({"function-bindings": list}).to_string().into_bytes()
    }

    pub fn pairs(&self) -> Vec<(String, Vec<u8>)> {
        (0..self.functions).map(|n| (self.key(n), self.binding(n, 4000).to_string().into_bytes())).collect()
    }

    pub fn lines(&self, number: usize) -> Vec<InstanceLine> {
        let service = self.name(number);
        let line = |n: usize| InstanceLine {
            id: format!("{}.i{n:03}", service.replace('/', ".")),
            service: service.clone(),
            address: format!("10.{}.{}.{}:8080", number / 250 % 250, number % 250, n % 250),
            zone: String::new(),
            worker: "w1".into(),
            state: InstanceState::Running,
        };
        (0..self.instances_of(number)).map(line).collect()
    }

    pub fn listing(&self) -> Listing {
        Listing { instances: (0..self.awake).flat_map(|number| self.lines(number)).collect() }
    }

    /// The same list as the platform's page.
    pub fn page(&self) -> Vec<u8> {
        let line = |l: InstanceLine| json!({"id": l.id, "service": l.service, "address": l.address, "state": l.state});
        let lines: Vec<Value> = self.listing().instances.into_iter().map(line).collect();
        json!({"instances": lines}).to_string().into_bytes()
    }
}
