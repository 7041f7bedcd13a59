//! Counters, events and metrics published by the daemon.

use std::sync::{Arc, Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider as _;
use poplarpaddle::path::{Counters, Reason};
use poplarpaddle_io::events::Events;
use poplarpaddle_io::metrics::Metrics;

/// Counters of the datagrams on the sockets of the data path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Datagrams {
    /// Datagrams received from the fabric.
    pub from_fabric: u64,
    /// Datagrams received from other balancers.
    pub from_peers: u64,
    /// Packets that could not be sent because the socket buffer was full, the destination was rejected or unknown, or
    /// the packet could not be encoded.
    pub unsent: u64,
    /// Datagrams received that do not contain a packet that the balancer can handle.
    pub malformed: u64,
}

/// Latest counters of the data path.
#[derive(Debug, Clone, Copy, Default)]
pub struct Snapshot {
    /// Counters of the engine.
    pub path: Counters,
    /// Counters of the sockets.
    pub datagrams: Datagrams,
}

/// Telemetry shared by all tasks of the daemon.
#[derive(Debug, Clone)]
pub struct Telemetry {
    /// Events for the timeline.
    pub events: Events,
    /// Metrics.
    pub metrics: Metrics,
    snapshot: Arc<Mutex<Snapshot>>,
}

impl Telemetry {
    /// Returns telemetry with its instruments registered.
    ///
    /// # Errors
    ///
    /// Fails when the metrics exporter cannot be set up.
    pub fn new() -> eyre::Result<Self> {
        let telemetry = Self { events: Events::new(), metrics: Metrics::new()?, snapshot: Arc::default() };
        telemetry.register();
        Ok(telemetry)
    }

    /// Replaces the latest counters.
    pub fn set(&self, snapshot: Snapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }

    /// Returns the latest counters.
    #[must_use]
    pub fn get(&self) -> Snapshot {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self) {
        let meter = self.metrics.provider().meter("poplarpaddle");
        let read = self.reader();
        let _gauge = meter
            .u64_observable_gauge("poplarpaddle.held")
            .with_description("Flows, packets and bytes held now")
            .with_callback(move |observer| {
                let path = read().path;
                for (quantity, value) in [
                    ("flows", path.flows),
                    ("packets", path.held),
                    ("packet_bytes", path.held_bytes),
                    ("table_bytes", path.table_bytes),
                ] {
                    observer.observe(value as u64, &[KeyValue::new("what", quantity)]);
                }
            })
            .build();
        let read = self.reader();
        let _packets = meter
            .u64_observable_counter("poplarpaddle.packets")
            .with_description("Packets by what became of them")
            .with_callback(move |observer| {
                let Snapshot { path, datagrams } = read();
                for (outcome, value) in [
                    ("from_fabric", datagrams.from_fabric),
                    ("from_peers", datagrams.from_peers),
                    ("unsent", datagrams.unsent),
                    ("malformed", datagrams.malformed),
                    ("to_target", path.to_target),
                    ("to_caller", path.to_caller),
                    ("relayed", path.relayed),
                    ("probes", path.probes),
                    ("absorbed", path.absorbed),
                ] {
                    observer.observe(value, &[KeyValue::new("outcome", outcome)]);
                }
            })
            .build();
        let read = self.reader();
        let _flows = meter
            .u64_observable_counter("poplarpaddle.flows")
            .with_description("Flows by what became of them")
            .with_callback(move |observer| {
                let path = read().path;
                for (outcome, value) in [
                    ("placed", path.placed),
                    ("retried", path.retried),
                    ("learned", path.learned),
                    ("probed", path.probed),
                    ("evicted", path.evicted),
                ] {
                    observer.observe(value, &[KeyValue::new("outcome", outcome)]);
                }
            })
            .build();
        let read = self.reader();
        let _hedges = meter
            .u64_observable_counter("poplarpaddle.hedges")
            .with_description("Slow openings of idempotent ports by what became of their hedges")
            .with_callback(move |observer| {
                let path = read().path;
                for (outcome, value) in [
                    ("sent", path.hedges),
                    ("won", path.hedges_won),
                    ("over_budget", path.hedges_over_budget),
                    ("without_room", path.hedges_without_room),
                ] {
                    observer.observe(value, &[KeyValue::new("outcome", outcome)]);
                }
            })
            .build();
        let read = self.reader();
        let _drops = meter
            .u64_observable_counter("poplarpaddle.not_forwarded")
            .with_description("Packets refused, reset or dropped, by reason")
            .with_callback(move |observer| {
                let path = read().path;
                for reason in Reason::ALL {
                    observer.observe(path.reason(reason), &[KeyValue::new("reason", reason.to_string())]);
                }
            })
            .build();
    }

    /// Returns a closure that reads the latest counters, for the callbacks of the instruments.
    fn reader(&self) -> impl Fn() -> Snapshot + Send + Sync + 'static {
        let snapshot = Arc::clone(&self.snapshot);
        move || *snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
