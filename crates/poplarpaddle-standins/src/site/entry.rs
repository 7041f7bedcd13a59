//! Entries that a run writes to the store: the configuration and the registrations of hosts.

use rand::RngExt as _;
use serde_json::json;

use super::run::Site;

/// Names of the two services.
pub(super) const SERVICES: [&str; 2] = ["bookings", "crewdocs"];

impl Site {
    pub(super) fn write_config(&mut self) {
        self.version += self.rng.random_range(1..9);
        let route = |name: &str, host: &str, port: u16, service: &str| {
            json!({"name": name, "host": host, "path_prefix": format!("/{port}/"), "route_type": "idempotent",
                "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": service, "max_attempts": 2})
        };
        let mut routes =
            vec![route("r-1", "198.18.0.1", 443, SERVICES[0]), route("r-2", "198.18.0.2", 443, SERVICES[1])];
        routes.push(route("r-3", "198.18.0.3", 1000 + u16::try_from(self.version % 500).unwrap_or(0), SERVICES[0]));
        let services = SERVICES.map(|name| json!({"name": name, "health_path": "/health", "max_conns": 4444}));
        let limits = json!({"idle_timeout_ms": 15000});
        let spec = json!({"version": self.version, "routes": routes, "services": services, "limits": limits});
        self.store.set("config", "main", spec);
    }

    pub(super) fn register_hosts(&mut self) {
        // Other writers leave entries that do not describe a host. They must not affect the valid ones.
        self.store.set("servers", "i-bad", json!({"service": 7}));
        self.store.set("servers", "list", json!([1, 2, 3]));
        for index in 0..self.hosts.len() {
            self.write_registration(index, "ready");
        }
    }

    pub(super) fn write_registration(&mut self, index: usize, state: &str) {
        self.registrations += 1;
        let server = &self.hosts[index];
        let spec = json!({"service": SERVICES[server.service], "address": server.address.to_string(),
            "zone": server.zone, "version": "v1", "slots": 3, "state": state, "cold_left_ms": 0,
            "seq": self.registrations, "born": 1});
        self.store.set("servers", &server.name, spec);
    }
}
