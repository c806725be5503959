//! Stand-in of the platform: its lists, and the duties of starting and stopping instances.

use super::*;

#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub instance: String,
    pub service: String,
    pub request_id: String,
    pub key: String,
}

/// A start or stop that the platform accepted.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: u64,
    pub what: String,
    pub service: String,
    pub holder: String,
    pub fence: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum InstanceState {
    Booting,
    Ready,
    Draining,
    Ended,
}

pub struct Instance {
    pub service: String,
    pub worker: usize,
    pub address: String,
    pub state: InstanceState,
    pub running: usize,
    pub listening: Arc<AtomicBool>,
}

/// What a service's instances do.
#[derive(Clone)]
pub struct Service {
    pub name: String,
    pub memory_mb: u64,
    pub boot_ms: u64,
    pub slots: usize,
    pub work_ms: u64,
}

pub struct Platform {
    pub record: Arc<Record>,
    pub address: SocketAddr,
    pub services: BTreeMap<String, Service>,
    pub instances: Mutex<BTreeMap<String, Instance>>,
    pub nonces: Mutex<BTreeMap<(String, String), String>>,
    pub fences: Mutex<BTreeMap<String, u64>>,
    pub draining_workers: Mutex<BTreeSet<usize>>,
    pub runs: Mutex<Vec<Run>>,
    pub duties: Mutex<Vec<DutyCall>>,
    /// Requests that are no longer worked on, with the time.
    pub finished: Mutex<Vec<(u64, String)>>,
    pub next: AtomicU64,
}

pub const WORKERS: usize = 12;
const WORKER_MB: u64 = 6000;
pub const ZONES: [&str; 3] = ["brno-a", "brno-b", "ostrava-c"];
/// An instance that leaves serves on for this long after it first stood in the list as draining.
pub const DRAIN_MS: u64 = 3000;

impl Platform {
    pub fn start(record: &Arc<Record>, services: Vec<Service>) -> Arc<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("platform address");
        let platform = Arc::new(Platform {
            record: record.clone(),
            address: listener.local_addr().unwrap(),
            services: services.into_iter().map(|service| (service.name.clone(), service)).collect(),
            instances: Mutex::default(),
            nonces: Mutex::default(),
            fences: Mutex::default(),
            draining_workers: Mutex::default(),
            runs: Mutex::default(),
            duties: Mutex::default(),
            finished: Mutex::default(),
            next: AtomicU64::new(1),
        });
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = serving.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(message)) = read_message(&mut reader) {
                        let (status, body) = platform.handle(&message);
                        let bytes =
                            answer_bytes(status, &[("Content-Type", "application/json".into())], body.as_bytes());
                        if writer.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        platform
    }

    fn handle(self: &Arc<Self>, message: &Message) -> (u16, String) {
        let mut parts = message.first_line.split(' ');
        let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let body = String::from_utf8_lossy(&message.body).into_owned();
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/instances") => (200, self.list()),
            ("GET", "/-/workers") => (200, self.workers()),
            ("POST", "/-/begin") => self.begin(message, &body),
            ("POST", "/-/stop") => self.stop(message, &body),
            _ => (404, "{}".into()),
        }
    }

    fn list(&self) -> String {
        let instances = self.instances.lock().unwrap();
        let lines = instances.iter().filter_map(|(id, instance)| {
            let state = match instance.state {
                InstanceState::Ready => "ready",
                InstanceState::Draining => "draining",
                _ => return None,
            };
            let slots = self.services[&instance.service].slots;
            Some(format!(
                "{{\"target_service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config_revision\":\"v1\",\
                 \"concurrency_slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"id\":\"{id}\",\
                 \"worker_id\":\"w-{}\"}}",
                instance.service,
                instance.address,
                ZONES[instance.worker % 3],
                instance.worker
            ))
        });
        format!("{{\"instances\":[{}],\"next_token\":null}}", lines.collect::<Vec<_>>().join(","))
    }

    fn workers(&self) -> String {
        let instances = self.instances.lock().unwrap();
        let draining = self.draining_workers.lock().unwrap();
        let line = |worker: usize| {
            let state = if draining.contains(&worker) { "draining" } else { "ready" };
            format!(
                "{{\"name\":\"w-{worker}\",\"zone\":\"{}\",\"memory_mb\":{WORKER_MB},\"free_memory_mb\":{},\"state\":\"{state}\"}}",
                ZONES[worker % 3],
                WORKER_MB.saturating_sub(self.used_mb(&instances, worker))
            )
        };
        format!("{{\"worker_pool\":[{}]}}", (0..WORKERS).map(line).collect::<Vec<_>>().join(","))
    }

    fn used_mb(&self, instances: &BTreeMap<String, Instance>, worker: usize) -> u64 {
        let here = instances.values().filter(|known| known.worker == worker && known.state != InstanceState::Ended);
        here.map(|known| self.services[&known.service].memory_mb).sum()
    }

    /// Checks the headers of a duty. The status is that of a refusal.
    fn duty(&self, message: &Message, what: &str, service: &str) -> Result<(), u16> {
        let holder = header(&message.headers, "Duty-Holder").ok_or(400u16)?.to_owned();
        let fence: u64 = header(&message.headers, "Fence-Token").and_then(|fence| fence.parse().ok()).ok_or(400u16)?;
        let mut fences = self.fences.lock().unwrap();
        let seen = fences.entry(service.to_owned()).or_default();
        if fence < *seen {
            self.record
                .line(&format!("platform: {what} of {service} by {holder} fence {fence} refused, {seen} was seen"));
            return Err(409);
        }
        *seen = fence;
        self.record.line(&format!("platform: {what} of {service} by {holder} fence {fence}"));
        let (what, service) = (what.to_owned(), service.to_owned());
        self.duties.lock().unwrap().push(DutyCall { at: self.record.now(), what, service, holder, fence });
        Ok(())
    }

    fn begin(self: &Arc<Self>, message: &Message, body: &str) -> (u16, String) {
        let field = |name: &str| json_field(body, name).unwrap_or_default();
        let (name, worker, nonce) = (field("target_service"), field("worker_id"), field("request_nonce"));
        let Some(service) = self.services.get(&name).cloned() else { return (400, "{}".into()) };
        if nonce.is_empty() || nonce.len() > 64 {
            return (400, "{}".into());
        }
        let Some(worker) = worker.strip_prefix("w-").and_then(|number| number.parse().ok()).filter(|w| *w < WORKERS)
        else {
            return (400, "{}".into());
        };
        if let Err(status) = self.duty(message, "begin", &name) {
            return (status, "{}".into());
        }
        let mut nonces = self.nonces.lock().unwrap();
        if let Some(id) = nonces.get(&(name.clone(), nonce.clone())) {
            let instances = self.instances.lock().unwrap();
            return (200, format!("{{\"id\":\"{id}\",\"address\":\"{}\"}}", instances[id].address));
        }
        let mut instances = self.instances.lock().unwrap();
        let is_draining = self.draining_workers.lock().unwrap().contains(&worker);
        if is_draining || self.used_mb(&instances, worker) + service.memory_mb > WORKER_MB {
            return (409, "{}".into());
        }
        let id = format!("i-{:04x}", self.next.fetch_add(1, Ordering::SeqCst));
        let address = {
            let listener = TcpListener::bind("127.0.0.1:0").expect("instance address");
            listener.local_addr().unwrap().to_string()
        };
        let listening = Arc::new(AtomicBool::new(true));
        instances.insert(
            id.clone(),
            Instance {
                service: name.clone(),
                worker,
                address: address.clone(),
                state: InstanceState::Booting,
                running: 0,
                listening: listening.clone(),
            },
        );
        nonces.insert((name, nonce), id.clone());
        let (platform, own_id, own_address) = (self.clone(), id.clone(), address.clone());
        thread::spawn(move || platform.run_instance(own_id, service, own_address, listening));
        (200, format!("{{\"id\":\"{id}\",\"address\":\"{address}\"}}"))
    }

    fn stop(&self, message: &Message, body: &str) -> (u16, String) {
        let id = json_field(body, "id").unwrap_or_default();
        let service = self.instances.lock().unwrap().get(&id).map(|instance| instance.service.clone());
        let Some(service) = service else { return (404, "{}".into()) };
        if let Err(status) = self.duty(message, &format!("stop of {id}"), &service) {
            return (status, "{}".into());
        }
        self.end_instance(&id);
        (200, "{}".into())
    }

    pub fn end_instance(&self, id: &str) {
        if let Some(instance) = self.instances.lock().unwrap().get_mut(id) {
            instance.state = InstanceState::Ended;
            instance.listening.store(false, Ordering::SeqCst);
        }
    }
}
