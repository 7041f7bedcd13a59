//! The platform's store (PROTOCOL.md, "The platform's metadata store"): lists in pages of 500 objects or 1 MB, watches.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Clone)]
struct Object {
    json: String,
    created: u64,
    spec: String,
}

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, Vec<u8>), Object>,
    changes: Vec<(u64, String, String, bool)>,
    calls: u64,
}

#[derive(Debug, Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> std::io::Result<Self> {
        let inner = Inner { revision: 100, ..Inner::default() };
        let store = Self { inner: Arc::new((Mutex::new(inner), Condvar::new())), is_silent: Arc::default() };
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || drop(serving.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Begins or ends an outage, in which calls get no answer and waiting watches are lost.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    pub fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::Relaxed)
    }

    /// Writes an object. `name` is the name as a JSON string token without its quotes, as its writer sent it.
    pub fn set(&self, kind: &str, name: &str, spec: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        let key = (kind.to_owned(), name.as_bytes().to_vec());
        let known = inner.objects.get(&key);
        if known.is_some_and(|object| object.spec == spec) {
            return;
        }
        let created = known.map(|object| object.created);
        inner.revision += 1;
        let revision = inner.revision;
        let created = created.unwrap_or(revision);
        let json = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        inner.objects.insert(key, Object { json: json.clone(), created, spec: spec.to_owned() });
        inner.changes.push((revision, kind.to_owned(), json, false));
        self.inner.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut head = Vec::new();
        let mut chunk = [0; 4096];
        while !head.windows(4).any(|window| window == b"\r\n\r\n") {
            let count = stream.read(&mut chunk)?;
            if count == 0 {
                return Ok(());
            }
            head.extend_from_slice(&chunk[..count]);
        }
        let was_silent = self.is_silent();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut words = text.split_whitespace();
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (status, body) = self.answer(method, target);
        if was_silent || self.is_silent() {
            // A channel on which a response is lost returns nothing further.
            std::thread::sleep(Duration::from_secs(10));
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())
    }

    fn answer(&self, method: &str, target: &str) -> (&'static str, String) {
        self.inner.0.lock().unwrap().calls += 1;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(kind) = path.strip_prefix("/poplarpaddle/objects/") else { return ("404 Not Found", "{}".into()) };
        if method != "GET" || kind.contains('/') {
            // Nothing was done. No case needs a write.
            return ("503 Service Unavailable", "{}".into());
        }
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
        };
        let number = |name: &str| value(name).and_then(|text| String::from_utf8(text).ok()?.parse::<u64>().ok());
        match number("watch") {
            Some(since) => self.watch(kind, since, Duration::from_millis(number("wait_ms").unwrap_or(0))),
            None => self.list(kind, value("after")),
        }
    }

    fn list(&self, kind: &str, after: Option<Vec<u8>>) -> (&'static str, String) {
        let inner = self.inner.0.lock().unwrap();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for ((_, name), object) in inner.objects.iter().filter(|((of, _), _)| of == kind) {
            if after.as_ref().is_some_and(|after| name <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || (!items.is_empty() && bytes + object.json.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += object.json.len();
            items.push(object.json.as_str());
        }
        let as_of = inner.revision;
        ("200 OK", format!("{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{as_of}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut inner = self.inner.0.lock().unwrap();
        loop {
            let new = inner.changes.iter().filter(|(revision, of, ..)| *revision > since && of == kind);
            let events: Vec<String> =
                new.map(|(_, _, json, deleted)| format!("{{\"deleted\":{deleted},\"object\":{json}}}")).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = inner.revision;
                return ("200 OK", format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")));
            }
            inner = self.inner.1.wait_timeout(inner, left).unwrap().0;
        }
    }
}

/// Decodes the percent encoding of a query.
fn decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    out
}
