//! Counters, histograms and events of the daemon.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, MeterProvider as _};
use poplarpaddle::direct::{Counters, Reason, Verdict};
use poplarpaddle_io::events::Events;
use poplarpaddle_io::metrics::Metrics;

/// Bucket boundaries of the histograms, in milliseconds.
const BOUNDS_MS: [f64; 9] = [1.0, 5.0, 10.0, 20.0, 50.0, 100.0, 500.0, 1000.0, 5000.0];

/// Verdicts that are exported as a counter.
const VERDICTS: [Verdict; 7] = [
    Verdict::Queued,
    Verdict::Placed,
    Verdict::Repeated,
    Verdict::Moved,
    Verdict::Refused,
    Verdict::Reset,
    Verdict::Dropped,
];

/// Latest values of the exported counters and gauges.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Snapshot {
    pub(super) engine: Counters,
    /// Number of datagrams that could not be sent.
    pub(super) unsent: u64,
    /// Version of the configuration.
    pub(super) version: u64,
    pub(super) hosts: u64,
    pub(super) members: u64,
    pub(super) drained_zones: u64,
    /// Number that rises each time that the store is restored from a copy.
    pub(super) store_epoch: u64,
}

/// Telemetry shared by all tasks of the daemon.
#[derive(Debug, Clone)]
pub(super) struct Telemetry {
    pub(super) events: Events,
    pub(super) metrics: Metrics,
    snapshot: Arc<Mutex<Snapshot>>,
    calls: Histogram<f64>,
}

impl Telemetry {
    pub(super) fn new() -> eyre::Result<Self> {
        let metrics = Metrics::new()?;
        let calls = metrics
            .provider()
            .meter("poplarpaddle")
            .f64_histogram("poplarpaddle.store.call")
            .with_description("Time of calls to the store and to peers, in milliseconds")
            .with_boundaries(BOUNDS_MS.to_vec())
            .build();
        let telemetry = Self { events: Events::new(), metrics, snapshot: Arc::default(), calls };
        telemetry.register();
        Ok(telemetry)
    }

    pub(super) fn set(&self, snapshot: Snapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }

    /// Records the duration of a call to the store or to a peer.
    pub(super) fn record_call(&self, call: &'static str, outcome: &'static str, duration: Duration) {
        let labels = [KeyValue::new("call", call), KeyValue::new("outcome", outcome)];
        self.calls.record(duration.as_secs_f64() * 1000.0, &labels);
    }

    fn register(&self) {
        let meter = self.metrics.provider().meter("poplarpaddle");
        let read = self.reader();
        let _gauge = meter
            .u64_observable_gauge("poplarpaddle.state")
            .with_description(
                "Version of the configuration, hosts, members, drained zones, epoch of the store and flows known now",
            )
            .with_callback(move |observer| {
                let latest = read();
                let values = [
                    ("config", latest.version),
                    ("hosts", latest.hosts),
                    ("members", latest.members),
                    ("drained_zones", latest.drained_zones),
                    ("store_epoch", latest.store_epoch),
                    ("flows", latest.engine.flows),
                    ("idle_flows", latest.engine.idle_flows),
                    ("cold_hosts", latest.engine.cold_hosts),
                ];
                for (quantity, value) in values {
                    observer.observe(value, &[KeyValue::new("what", quantity)]);
                }
            })
            .build();
        let read = self.reader();
        let _decisions = meter
            .u64_observable_counter("poplarpaddle.decisions")
            .with_description("Decisions about flows by verdict")
            .with_callback(move |observer| {
                let latest = read();
                for verdict in VERDICTS {
                    observer.observe(latest.engine.verdict(verdict), &[KeyValue::new("verdict", verdict.to_string())]);
                }
            })
            .build();
        let read = self.reader();
        let _left_out = meter
            .u64_observable_counter("poplarpaddle.cold.left.out")
            .with_description("Choices of a host for an opening that left out a cold host because of its bound")
            .with_callback(move |observer| observer.observe(read().engine.cold_left_out, &[]))
            .build();
        let read = self.reader();
        let _packets = meter
            .u64_observable_counter("poplarpaddle.packets")
            .with_description("Packets forwarded, not sent, and not forwarded by reason")
            .with_callback(move |observer| {
                let latest = read();
                observer.observe(latest.engine.forwarded, &[KeyValue::new("outcome", "forwarded")]);
                observer.observe(latest.unsent, &[KeyValue::new("outcome", "unsent")]);
                for reason in Reason::ALL {
                    observer.observe(latest.engine.reason(reason), &[KeyValue::new("outcome", reason.to_string())]);
                }
            })
            .build();
    }

    /// Returns a closure that reads the latest values, for the callbacks of the instruments.
    fn reader(&self) -> impl Fn() -> Snapshot + Send + Sync + 'static {
        let snapshot = Arc::clone(&self.snapshot);
        move || *snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
