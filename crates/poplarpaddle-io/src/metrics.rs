//! Metrics collected with `opentelemetry` and served in the Prometheus text format.
//!
//! ```
//! use opentelemetry::metrics::MeterProvider as _;
//! use poplarpaddle_io::metrics::Metrics;
//!
//! let metrics = Metrics::new().unwrap();
//! let counter = metrics.provider().meter("example").u64_counter("packets").build();
//! counter.add(3, &[]);
//! assert!(metrics.text().contains("packets_total"));
//! ```

use eyre::Context as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

/// Meter provider and the Prometheus registry that it exports to.
#[derive(Debug, Clone)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Returns a meter provider without any metrics.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be set up.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("cannot set up the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter provider.
    #[must_use]
    pub const fn provider(&self) -> &SdkMeterProvider {
        &self.provider
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics cannot be encoded: {error}\n"),
        }
    }
}
