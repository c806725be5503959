//! Stand-in instances, which run requests, and workers that are emptied.

use super::*;

impl Platform {
    /// Empties one worker, the one with the most instances at work: it takes no new instances, and its instances leave.
    pub fn drain_busiest_worker(self: &Arc<Self>) {
        let (mut ids, mut services) = (Vec::new(), BTreeSet::new());
        let worker = {
            let mut instances = self.instances.lock().unwrap();
            let busy = |worker: usize| {
                let here = instances.values().filter(|known| known.worker == worker);
                here.filter(|known| known.state == InstanceState::Ready && known.running > 0).count()
            };
            let worker = (0..WORKERS).max_by_key(|worker| busy(*worker)).unwrap_or(0);
            for (id, instance) in instances.iter_mut().filter(|(_, known)| known.worker == worker) {
                if matches!(instance.state, InstanceState::Booting | InstanceState::Ready) {
                    instance.state = InstanceState::Draining;
                    ids.push(id.clone());
                    services.insert(instance.service.clone());
                }
            }
            self.record
                .line(&format!("platform: worker w-{worker} is emptied, instances {ids:?} of {services:?} leave"));
            self.draining_workers.lock().unwrap().insert(worker);
            worker
        };
        let platform = self.clone();
        thread::spawn(move || {
            sleep_ms(DRAIN_MS + 5000);
            ids.iter().for_each(|id| platform.end_instance(id));
            platform.draining_workers.lock().unwrap().remove(&worker);
        });
    }

    pub fn run_instance(self: Arc<Self>, id: String, service: Service, address: String, listening: Arc<AtomicBool>) {
        sleep_ms(service.boot_ms);
        let Ok(listener) = TcpListener::bind(&address) else {
            self.record.line(&format!("instance {id}: its address was taken"));
            return self.end_instance(&id);
        };
        if let Some(instance) = self.instances.lock().unwrap().get_mut(&id)
            && instance.state == InstanceState::Booting
        {
            instance.state = InstanceState::Ready;
        }
        self.record.line(&format!("instance {id} of {} ready at {address}", service.name));
        let _ = listener.set_nonblocking(true);
        while listening.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (platform, id, service) = (self.clone(), id.clone(), service.clone());
                    let _ = stream.set_nonblocking(false);
                    thread::spawn(move || platform.serve_instance(stream, &id, &service));
                }
                Err(_) => sleep_ms(3),
            }
        }
    }

    fn serve_instance(&self, stream: TcpStream, id: &str, service: &Service) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_message(&mut reader) {
            let text = |name: &str| header(&message.headers, name).unwrap_or_default().to_owned();
            let request_id = text("Request-Id");
            let echo = ("Request-Id", request_id.clone());
            let target = text("Target-Instance");
            if !target.is_empty() && target != id {
                let _ = writer.write_all(&answer_bytes(421, &[echo], b""));
                continue;
            }
            let is_full = {
                let mut instances = self.instances.lock().unwrap();
                let Some(instance) = instances.get_mut(id) else { return };
                if instance.running >= service.slots || instance.state == InstanceState::Ended {
                    true
                } else {
                    instance.running += 1;
                    false
                }
            };
            if is_full {
                let _ = writer.write_all(&answer_bytes(503, &[echo, ("Not-Executed", "1".into())], b""));
                continue;
            }
            let key = text("Idempotency-Key");
            self.record.line(&format!("instance {id} of {} runs {request_id} key '{key}'", service.name));
            let (instance, name) = (id.to_owned(), service.name.clone());
            let run = Run { at: self.record.now(), instance, service: name, request_id: request_id.clone(), key };
            self.runs.lock().unwrap().push(run);
            let end = Instant::now() + ms(service.work_ms);
            // Works until it is done or the connection is closed, as most instances do.
            let mut is_dropped = false;
            let _ = writer.set_read_timeout(Some(ms(20)));
            while Instant::now() < end && !is_dropped {
                let left = end.saturating_duration_since(Instant::now()).min(ms(20));
                let _ = writer.set_read_timeout(Some(left.max(ms(1))));
                let mut byte = [0u8; 1];
                is_dropped = matches!(writer.peek(&mut byte), Ok(0));
            }
            let _ = writer.set_read_timeout(None);
            self.finished.lock().unwrap().push((self.record.now(), request_id.clone()));
            let draining = {
                let mut instances = self.instances.lock().unwrap();
                let Some(instance) = instances.get_mut(id) else { return };
                instance.running -= 1;
                instance.state != InstanceState::Ready
            };
            self.record.line(&format!("instance {id} ends {request_id}{}", if is_dropped { ", dropped" } else { "" }));
            if is_dropped {
                return;
            }
            let seal = ("Instance-Seal", format!("{id}.{request_id}"));
            let body = format!("result of {request_id} by {id}");
            let mut headers = vec![echo, seal];
            if draining {
                headers.push(("Connection", "close".into()));
            }
            if writer.write_all(&answer_bytes(200, &headers, body.as_bytes())).is_err() || draining {
                return;
            }
        }
    }
}
