//! Machines that run the project's own program with the commands of the deploy file.

use super::*;

pub struct Machine {
    pub name: String,
    pub ip: String,
    pub has_disk: bool,
    folder: PathBuf,
    router: Option<Child>,
    registry: Option<Child>,
}

pub struct Deployment {
    pub machines: Vec<Machine>,
    pub record: Arc<Record>,
    folder: PathBuf,
    ports: Ports,
    platform: SocketAddr,
    bounds: String,
}

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    readiness: u16,
    control: u16,
    internal: u16,
}

fn free_ports(ips: &[String]) -> Ports {
    let first = 20_000 + (std::process::id() as u16 % 900) * 40;
    for base in (0..200u16).map(|step| 20_000 + (first - 20_000 + step * 40) % 40_000) {
        let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
        if (base..base + 10).all(is_free) {
            return Ports { front: base, readiness: base + 1, control: base + 2, internal: base + 4 };
        }
    }
    panic!("no free ports");
}

/// Processes started so far; ended ones are taken out.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A script that has not ended by then is given up.
const LONGEST_RUN_MS: u64 = 112_000;

/// Ends all processes and the script if it takes too long.
pub fn watch_time() {
    thread::spawn(|| {
        sleep_ms(LONGEST_RUN_MS);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
        }
        println!("the case could not run: it took too long");
        std::process::exit(2);
    });
}

fn forget(child: &Child) {
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
}

impl Deployment {
    /// Makes `with_disk` machines with a disk and `others` without; starts nothing.
    pub fn new(record: &Arc<Record>, platform: &Platform, with_disk: usize, others: usize, bounds: &str) -> Deployment {
        let folder = std::env::temp_dir().join(format!("heronlink-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let ip = |number: usize| format!("127.{}.{}.{}", 20 + std::process::id() % 200, 7, number + 1);
        let ips: Vec<String> = (0..with_disk + others).map(ip).collect();
        let ports = free_ports(&ips);
        let machine = |(number, ip): (usize, &String)| {
            let name = format!("edge-{}-{}", ZONES[number % 3], number / 3 + 1);
            let folder = folder.join(&name);
            std::fs::create_dir_all(folder.join("data")).expect("a machine's folder");
            Machine { name, ip: ip.clone(), has_disk: number < with_disk, folder, router: None, registry: None }
        };
        let machines = ips.iter().enumerate().map(machine).collect();
        let (record, platform, bounds) = (record.clone(), platform.address, bounds.to_owned());
        Deployment { machines, record, folder, ports, platform, bounds }
    }

    fn write_settings(&self, number: usize, bootstrap: bool) {
        let machine = &self.machines[number];
        let Ports { front, readiness, control, internal } = self.ports;
        let ip = &machine.ip;
        let with_disk = self.machines.iter().filter(|known| known.has_disk).take(3);
        let seeds: Vec<String> = with_disk.map(|known| format!("{}:{control}", known.ip)).collect();
        let data = if machine.has_disk { machine.folder.join("data").display().to_string() } else { String::new() };
        let text = format!(
            "node_name={name}\nrole=router\nmachine_class=edge\nserves=edge,control\nip_address={ip}\nzone={zone}\n\
             region=cz-morava\nzones.brno-a=cz-morava\nzones.brno-b=cz-morava\nzones.ostrava-c=cz-morava\n\
             bind_addresses.front_http={ip}:{front}\nbind_addresses.readiness={ip}:{readiness}\n\
             bind_addresses.control_plane={ip}:{control}\ninternal_port_range={internal},{}\nseed_nodes={}\n\
             bootstrap={bootstrap}\nquorum_member={}\nlimits.cpu_share=1\nlimits.cpu_cores=1\nlimits.memory_mb=260\n\
             limits.file_descriptors=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=64\ndata_directory={data}\n\
             discovery=cloud_api\nentry_mode=vip\nheartbeat_ms=1200\nfault_tolerance.machine_losses=1\n\
             fault_tolerance.zones=0\nfault_tolerance.region_losses=0\n{}\
             cloud_api.address={}\ncloud_api.rate_per_s=26.0\ncloud_api.duties=instance_start\n\
             cloud_api.max_lag_ms=800\ncloud_api.duty_rate_s=78.0\n",
            internal + 5,
            seeds.join(","),
            machine.has_disk,
            self.bounds,
            self.platform,
            name = machine.name,
            zone = ZONES[number % 3],
        );
        std::fs::write(machine.folder.join("boot.conf"), text).expect("boot.conf");
    }

    /// Starts a machine's processes with the commands of the deploy file.
    pub fn start(&mut self, number: usize, bootstrap: bool) {
        self.write_settings(number, bootstrap);
        self.record.line(&format!("machine {} starts", self.machines[number].name));
        const ROUTER: &str = "router --log-level warn --step 1s --hold 1s --recorded-answer-bytes 512";
        const REGISTRY: &str = "registry --log-level warn --step 1s --hold 1s --fits 2 --tuning false";
        let machine = &mut self.machines[number];
        let spawn = |command: &str, log: &str| {
            let log = File::options().create(true).append(true).open(machine.folder.join(log)).expect("a log");
            Command::new(PROGRAM)
                .args(command.split(' '))
                .env("HERONLINK_NODE_FILE", machine.folder.join("boot.conf"))
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("a log"))
                .stderr(log)
                .spawn()
                .inspect(|child| STARTED.lock().unwrap().push(child.id()))
                .expect("the project's program")
        };
        let registry = machine.has_disk.then(|| spawn(REGISTRY, "registry.log"));
        let router = spawn(ROUTER, "router.log");
        (machine.registry, machine.router) = (registry, Some(router));
    }

    /// Sends a signal to all processes of a machine.
    pub fn signal(&mut self, number: usize, name: &str) {
        self.record.line(&format!("machine {} gets SIG{name}", self.machines[number].name));
        let machine = &self.machines[number];
        machine.router.iter().chain(&machine.registry).for_each(|child| signal(child, name));
    }

    /// Waits until the processes of a machine have ended; kills what is left after the limit, as the platform does.
    pub fn wait_end(&mut self, number: usize, limit: Duration) {
        let end = Instant::now() + limit;
        let machine = &mut self.machines[number];
        for child in [machine.router.as_mut(), machine.registry.as_mut()].into_iter().flatten() {
            while matches!(child.try_wait(), Ok(None)) {
                if Instant::now() >= end {
                    let _ = child.kill();
                    let _ = child.wait();
                    break;
                }
                sleep_ms(10);
            }
            forget(child);
        }
        (machine.router, machine.registry) = (None, None);
        self.record.line(&format!("machine {} has ended", self.machines[number].name));
    }

    /// Loses the disk of a machine whose processes have ended.
    pub fn empty_disk(&mut self, number: usize) {
        let data = self.machines[number].folder.join("data");
        let _ = std::fs::remove_dir_all(&data);
        std::fs::create_dir_all(&data).expect("a data folder");
        self.record.line(&format!("machine {} has lost its disk", self.machines[number].name));
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        format!("{}:{}", self.machines[number].ip, self.ports.front).parse().unwrap()
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        format!("{}:{}", self.machines[number].ip, self.ports.control).parse().unwrap()
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let to = format!("{}:{}", self.machines[number].ip, self.ports.readiness).parse().unwrap();
        call(to, "GET", "/-/readiness", &[("Host", "x")], b"", ms(500)).is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until all routers of these machines say that they are ready.
    pub fn wait_ready(&self, numbers: &[usize], limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if numbers.iter().all(|number| self.is_ready(*number)) {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Sends a configuration, to one node after another, until it is acknowledged.
    pub fn configure(&self, base: u64, body: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let base = base.to_string();
        let nodes: Vec<usize> = (0..self.machines.len()).filter(|number| self.machines[*number].has_disk).collect();
        for number in nodes.iter().cycle() {
            if Instant::now() >= end {
                return false;
            }
            let headers = [("Host", "x"), ("If-Revision", base.as_str()), ("Content-Type", "application/json")];
            let to = self.control(*number);
            let answer = call(to, "POST", "/-/Config.Replace", &headers, body.as_bytes(), ms(3000));
            if answer.is_ok_and(|answer| answer.status == 200) {
                self.record.line("operator: the configuration is acknowledged");
                return true;
            }
            sleep_ms(200);
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for child in [machine.router.take(), machine.registry.take()].into_iter().flatten() {
                let mut child = child;
                let _ = child.kill();
                let _ = child.wait();
                forget(&child);
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
