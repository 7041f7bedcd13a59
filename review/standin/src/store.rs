//! The platform's store, as far as a balancer reads it: lists and watches of objects by kind.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Object {
    /// JSON text as its writer left it; the store passes it on byte for byte.
    spec: Vec<u8>,
    revision: u64,
    created: u64,
}

struct Change {
    revision: u64,
    kind: String,
    object: Vec<u8>,
    deleted: bool,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

fn text(name: &str, object: &Object) -> Vec<u8> {
    let mut out = format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":",
        object.revision, object.created
    )
    .into_bytes();
    out.extend(&object.spec);
    out.extend(b",\"status\":null}");
    out
}

/// Returns the texts, separated by commas, between `head` and `tail`.
fn join(head: &str, texts: &[Vec<u8>], tail: &str) -> Vec<u8> {
    let mut out = head.as_bytes().to_vec();
    out.extend(texts.join(&b','));
    out.extend(tail.as_bytes());
    out
}

impl Store {
    pub fn serve(address: SocketAddrV4) -> std::io::Result<Self> {
        let inner = Inner { revision: 500, ..Default::default() };
        let store = Self { inner: Arc::new((Mutex::new(inner), Condvar::new())) };
        let listener = TcpListener::bind(address)?;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.answer(stream));
            }
        });
        Ok(store)
    }

    /// Writes the JSON text `spec` as an object. The return is the store's confirmation.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = inner.objects.get(&key).map_or(revision, |object| object.created);
        let object = Object { spec: spec.to_vec(), revision, created };
        let object_text = text(name, &object);
        inner.objects.insert(key, object);
        inner.changes.push(Change { revision, kind: kind.to_owned(), object: object_text, deleted: false });
        changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().unwrap();
        let Some(object) = inner.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        inner.revision += 1;
        let revision = inner.revision;
        let object = text(name, &object);
        inner.changes.push(Change { revision, kind: kind.to_owned(), object, deleted: true });
        changed.notify_all();
    }

    fn answer(&self, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut request = Vec::new();
        let mut buffer = [0; 4096];
        while !request.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(length) if length > 0 => request.extend(&buffer[..length]),
                _ => return,
            }
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let target = request.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.rsplit('/').next().unwrap_or_default();
        let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        std::thread::sleep(Duration::from_millis(4));
        let body = match value("watch").and_then(|text| text.parse().ok()) {
            Some(since) => {
                let wait = value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(kind, since, Duration::from_millis(wait))
            }
            None => self.list(kind, value("after").unwrap_or_default()),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body));
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let inner = self.inner.0.lock().unwrap();
        let items: Vec<Vec<u8>> = inner
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| text(name, object))
            .collect();
        join("{\"items\":[", &items, &format!("],\"has_more\":false,\"as_of\":{}}}", inner.revision))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Vec<u8> {
        let (inner, changed) = &*self.inner;
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut inner = inner.lock().unwrap();
        loop {
            let events: Vec<Vec<u8>> = inner
                .changes
                .iter()
                .filter(|change| change.revision > since && change.kind == kind)
                .map(|change| {
                    let tail = format!(",\"deleted\":{}}}", change.deleted);
                    join("{\"object\":", std::slice::from_ref(&change.object), &tail)
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return join("{\"events\":[", &events, &format!("],\"as_of\":{}}}", inner.revision));
            }
            inner = changed.wait_timeout(inner, end - now).unwrap().0;
        }
    }
}
