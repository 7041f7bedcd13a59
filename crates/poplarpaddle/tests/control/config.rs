//! Configuration of the nodes in tests: a simplified manifest and parts that are not compiled.

use std::collections::BTreeMap;
use std::sync::Arc;

use poplarpaddle::control::{Configuration, Digest, Offer};
use poplarpaddle::error::Kind;
use poplarpaddle::map;
use poplarpaddle::prelude::*;
use poplarpaddle::view;

/// Configuration whose manifest lists its parts and which is not compiled.
#[derive(Default)]
pub struct FakeConfig {
    generation: u64,
    manifest: Vec<u8>,
    parts: BTreeMap<Digest, Vec<u8>>,
    pending: Vec<u8>,
    current: Option<Arc<view::Config>>,
}

pub fn manifest(generation: u64, parts: &[&str]) -> serde_json::Value {
    let digests: Vec<_> = parts.iter().map(|part| blake3::hash(&part_bytes(part)).to_hex().to_string()).collect();
    serde_json::json!({ "generation": generation, "parts": digests })
}

pub fn part_bytes(part: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!(part)).unwrap()
}

fn parse(manifest: &[u8]) -> Result<(u64, Vec<Digest>)> {
    let malformed = |_| Error::new(Kind::Object, "manifest is malformed");
    let value: serde_json::Value = serde_json::from_slice(manifest).map_err(malformed)?;
    let parts = value["parts"].as_array().cloned().unwrap_or_default();
    let digest = |v: &serde_json::Value| v.as_str().unwrap_or_default().parse::<Digest>().unwrap();
    Ok((value["generation"].as_u64().unwrap_or(0), parts.iter().map(digest).collect()))
}

/// Returns a service with one target. Load reports of the target that name another service make it misplaced.
fn service() -> view::Service {
    view::Service {
        name: "bookings".into(),
        address: std::net::Ipv4Addr::new(10, 0, 0, 1),
        ports: Vec::new(),
        shards: 1,
        targets: vec![view::Target {
            name: "target-8".into(),
            zone: "zone-0".into(),
            address: std::net::Ipv4Addr::new(10, 1, 0, 8),
            slots: 3,
            connections: 4400,
            draining: false,
            released: false,
        }],
    }
}

impl FakeConfig {
    /// Returns a configuration with `parts` that is in force.
    pub fn with_parts(generation: u64, parts: &[&str]) -> Self {
        let mut config = Self::default();
        for part in parts {
            config.supply(&part_bytes(part)).unwrap();
        }
        let manifest = serde_json::to_vec(&manifest(generation, parts)).unwrap();
        assert_eq!(config.offer(&manifest), Ok(Offer::Applied));
        config
    }

    fn complete(&mut self) -> Result<Offer> {
        let (generation, digests) = parse(&self.pending)?;
        let missing: Vec<_> = digests.into_iter().filter(|digest| !self.parts.contains_key(digest)).collect();
        if !missing.is_empty() {
            return Ok(Offer::Missing(missing));
        }
        self.generation = generation;
        self.manifest = std::mem::take(&mut self.pending);
        self.current = Some(Arc::new(view::Config {
            generation,
            seed: 0,
            services: vec![std::sync::Arc::new(service())],
            priorities: Vec::new(),
            addresses: map::seeded(0),
            endpoints: map::seeded(0),
        }));
        Ok(Offer::Applied)
    }
}

impl Configuration for FakeConfig {
    fn offer(&mut self, manifest: &[u8]) -> Result<Offer> {
        let (generation, _) = parse(manifest)?;
        match generation.cmp(&self.generation) {
            std::cmp::Ordering::Less => Ok(Offer::Stale),
            std::cmp::Ordering::Equal => Ok(Offer::Current),
            std::cmp::Ordering::Greater => {
                self.pending = manifest.to_vec();
                self.complete()
            }
        }
    }
    fn supply(&mut self, part: &[u8]) -> Result<Offer> {
        self.parts.insert(Digest::of(part), part.to_vec());
        if self.pending.is_empty() { Ok(Offer::Current) } else { self.complete() }
    }
    fn generation(&self) -> u64 {
        self.generation
    }
    fn digest(&self) -> Digest {
        Digest::of(&self.manifest)
    }
    fn manifest(&self) -> Option<&[u8]> {
        (self.generation > 0).then_some(&self.manifest)
    }
    fn part(&self, digest: &Digest) -> Option<&[u8]> {
        self.parts.get(digest).map(Vec::as_slice)
    }
    fn current(&self) -> Option<&Arc<view::Config>> {
        self.current.as_ref()
    }
}
