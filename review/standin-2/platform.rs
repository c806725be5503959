//! Stand-in of the platform and of its instances.

use crate::Record;
use crate::http::{self, Connection, Message};
use crate::instances::{Behaviour, Instance};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A start, stop or list call as the platform saw it.
#[derive(Clone)]
pub struct Call {
    pub service: String,
    pub fence: u64,
}

/// A request that an instance began to work on.
#[derive(Clone)]
pub struct Run {
    pub request_id: String,
}

pub struct Function {
    pub name: String,
    pub slots: usize,
    pub boot_ms: u64,
    pub memory_mb: u64,
}

pub struct Platform {
    pub record: Arc<Record>,
    pub address: String,
    network: u8,
    port: u16,
    functions: Vec<Function>,
    workers: Vec<(String, u64)>,
    pub instances: Mutex<BTreeMap<String, Arc<Instance>>>,
    by_nonce: Mutex<BTreeMap<String, String>>,
    pub calls: Mutex<Vec<Call>>,
    pub runs: Mutex<Vec<Run>>,
    behaviour: Box<Behaviour>,
}

impl Platform {
    /// Starts the platform at a free port. Its instances get loopback addresses of their own.
    pub fn start(
        record: &Arc<Record>,
        network: u8,
        port: u16,
        functions: Vec<Function>,
        workers: Vec<(String, u64)>,
        behaviour: Box<Behaviour>,
    ) -> Arc<Platform> {
        let listener = TcpListener::bind(format!("127.{network}.8.1:{port}")).expect("a port for the platform");
        let address = listener.local_addr().unwrap().to_string();
        let platform = Arc::new(Platform {
            record: record.clone(),
            address,
            network,
            port,
            functions,
            workers,
            instances: Mutex::default(),
            by_nonce: Mutex::default(),
            calls: Mutex::default(),
            runs: Mutex::default(),
            behaviour,
        });
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = shared.clone();
                thread::spawn(move || platform.serve_calls(Connection::new(stream)));
            }
        });
        platform
    }

    pub fn behaviour(&self) -> &Behaviour {
        &*self.behaviour
    }

    pub fn function(&self, name: &str) -> Option<&Function> {
        self.functions.iter().find(|function| function.name == name)
    }

    fn serve_calls(self: &Arc<Platform>, mut connection: Connection) -> io::Result<()> {
        while let Some(call) = connection.read()? {
            let (status, body) = self.answer(&call);
            let headers = [("Content-Type", "application/json")];
            connection.write(&format!("HTTP/1.1 {status} Answered"), &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(self: &Arc<Platform>, call: &Message) -> (u16, String) {
        let mut words = call.start_line.split([' ', '?']);
        match (words.next(), words.next()) {
            (Some("GET"), Some("/instances")) => (200, self.list_instances()),
            (Some("GET"), Some("/-/workers")) => (200, self.list_workers()),
            (Some("POST"), Some("/-/begin")) => self.begin(call),
            (Some("POST"), Some("/-/stop")) => self.stop(call),
            _ => (404, "{}".into()),
        }
    }

    fn list_instances(&self) -> String {
        let instances = self.instances.lock().unwrap();
        let listed = instances
            .values()
            .filter(|instance| instance.ready.load(Ordering::Relaxed) && !instance.stopped.load(Ordering::Relaxed));
        let entries: Vec<String> = listed
            .map(|instance| {
                let slots = self.function(&instance.service).map_or(1, |function| function.slots);
                format!(
                    r#"{{"id":"{}","target_service":"{}","address":"{}","zone":"zone-0","config_revision":"v1","concurrency_slots":{slots},"state":"ready","cold_remaining_ms":0,"worker_id":"{}"}}"#,
                    instance.id, instance.service, instance.address, instance.worker
                )
            })
            .collect();
        format!(r#"{{"instances":[{}],"next_token":null}}"#, entries.join(","))
    }

    fn free_memory(&self, worker: &str, memory_mb: u64) -> u64 {
        let instances = self.instances.lock().unwrap();
        let here = instances.values().filter(|instance| {
            instance.worker == worker
                && !(instance.stopped.load(Ordering::Relaxed) && instance.running.load(Ordering::Relaxed) == 0)
        });
        let taken: u64 =
            here.map(|instance| self.function(&instance.service).map_or(0, |function| function.memory_mb)).sum();
        memory_mb.saturating_sub(taken)
    }

    fn list_workers(&self) -> String {
        let entries: Vec<String> = self
            .workers
            .iter()
            .enumerate()
            .map(|(number, (name, memory))| {
                format!(
                    r#"{{"name":"{name}","zone":"zone-{}","memory_mb":{memory},"free_memory_mb":{},"state":"ready"}}"#,
                    number % 3,
                    self.free_memory(name, *memory)
                )
            })
            .collect();
        format!(r#"{{"worker_pool":[{}]}}"#, entries.join(","))
    }

    fn note_call(&self, call: &Message, what: String, service: &str, status: u16) {
        let (holder, fence) = (call.header("Duty-Holder"), call.header("Fence-Token"));
        self.record.line(&format!("platform {what} {service} holder {holder} fence {fence} -> {status}"));
        let call = Call { service: service.into(), fence: fence.parse().unwrap_or(0) };
        self.calls.lock().unwrap().push(call);
    }

    /// Whether a higher fence was already seen for the function.
    fn is_fenced(&self, call: &Message, service: &str) -> bool {
        let fence: u64 = call.header("Fence-Token").parse().unwrap_or(0);
        self.calls.lock().unwrap().iter().any(|known| known.service == service && known.fence > fence)
    }

    fn begin(self: &Arc<Platform>, call: &Message) -> (u16, String) {
        let text = |field| http::json_text(&call.body, field);
        let (service, worker, nonce) = (text("target_service"), text("worker_id"), text("request_nonce"));
        let Some(function) = self.function(&service) else { return (400, "{}".into()) };
        if self.is_fenced(call, &service) {
            self.note_call(call, format!("begin {nonce}"), &service, 409);
            return (409, "{}".into());
        }
        let nonce = format!("{service} {nonce}");
        let mut by_nonce = self.by_nonce.lock().unwrap();
        if let Some(id) = by_nonce.get(&nonce) {
            let address = self.instances.lock().unwrap()[id].address.clone();
            return (200, format!(r#"{{"id":"{id}","address":"{address}"}}"#));
        }
        let memory = self.workers.iter().find(|(name, _)| *name == worker).map_or(0, |(_, memory)| *memory);
        if self.free_memory(&worker, memory) < function.memory_mb {
            self.note_call(call, "begin".into(), &service, 409);
            return (409, "{}".into());
        }
        let number = by_nonce.len() as u64 + 1;
        let address = format!("127.{}.{}.{}:{}", self.network, 10 + number / 200, 1 + number % 200, self.port);
        let instance = Arc::new(Instance {
            id: format!("i-{number}"),
            number,
            service: service.clone(),
            worker,
            address: address.clone(),
            ready: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            answers: AtomicU64::new(0),
            accepted: Mutex::default(),
        });
        self.note_call(call, format!("begin {}", instance.id), &service, 200);
        by_nonce.insert(nonce, instance.id.clone());
        self.instances.lock().unwrap().insert(instance.id.clone(), instance.clone());
        let (platform, boot) = (self.clone(), Duration::from_millis(function.boot_ms));
        let answer = format!(r#"{{"id":"{}","address":"{address}"}}"#, instance.id);
        thread::spawn(move || {
            thread::sleep(boot);
            let listener = TcpListener::bind(&address).expect("an address for the instance");
            instance.ready.store(true, Ordering::Relaxed);
            let _ = listener.set_nonblocking(true);
            while !instance.stopped.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (platform, instance) = (platform.clone(), instance.clone());
                        thread::spawn(move || platform.serve_requests(&instance, stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        (200, answer)
    }

    fn stop(&self, call: &Message) -> (u16, String) {
        let id = http::json_text(&call.body, "id");
        let Some(instance) = self.instances.lock().unwrap().get(&id).cloned() else { return (404, "{}".into()) };
        let status = if self.is_fenced(call, &instance.service) { 409 } else { 200 };
        self.note_call(call, format!("stop {id}"), &instance.service, status);
        if status == 200 {
            instance.stopped.store(true, Ordering::Relaxed);
        }
        (status, "{}".into())
    }
}
