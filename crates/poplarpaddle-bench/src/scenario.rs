//! Deployments, load and faults of the runs that the driver measures.

use poplarpaddle::admission::{Gate, Order, Settings, gate};
use poplarpaddle::view::Priority;

use crate::naive::Naive;

/// Service port of the first priority of the first service.
const BASE_PORT: u16 = 8_000;

/// Distance between the first ports of two consecutive services.
const PORTS_PER_SERVICE: u16 = 10;

/// Requests of one priority.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Mean service time in microseconds.
    pub service_us: u64,
    /// Time after the request by which the caller needs the answer, in microseconds.
    pub deadline_us: u64,
}

/// Requests by priority, the most urgent first.
pub const PRIORITIES: [Class; 3] = [
    Class { service_us: 20_000, deadline_us: 1_000_000 },
    Class { service_us: 30_000, deadline_us: 2_000_000 },
    Class { service_us: 40_000, deadline_us: 4_000_000 },
];

/// A service of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Number of hosts.
    pub hosts: u8,
}

/// A user's fleet: services, hosts and network delays.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name of the user.
    pub name: &'static str,
    /// Services.
    pub services: [Service; 2],
    /// Slots of each host, which is the number of requests that the host runs at once.
    pub slots: u16,
    /// Maximum number of connections of each host.
    pub connections: u32,
    /// One-way delay between balancer and target, including a relay between balancers, in microseconds.
    pub target_hop_us: u64,
    /// One-way delay between caller and balancer, in microseconds.
    pub caller_hop_us: u64,
}

/// Deployments of the current two users.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "kauri",
        services: [Service { name: "bookings", hosts: 15 }, Service { name: "crewdocs", hosts: 5 }],
        slots: 3,
        connections: 4_400,
        target_hop_us: 1_000,
        caller_hop_us: 3_000,
    },
    Deployment {
        name: "kitami",
        services: [Service { name: "pour-slot", hosts: 15 }, Service { name: "catalogue", hosts: 5 }],
        slots: 2,
        connections: 4_300,
        target_hop_us: 2_000,
        caller_hop_us: 3_000,
    },
];

/// Returns the port of a priority of a service.
#[must_use]
pub fn port(service: usize, priority: usize) -> u16 {
    let service = u16::try_from(service).unwrap_or(u16::MAX);
    let priority = u16::try_from(priority).unwrap_or(u16::MAX);
    BASE_PORT.saturating_add(service.saturating_mul(PORTS_PER_SERVICE)).saturating_add(priority)
}

/// Returns the service and the priority of a port, or `None` when no service has the port.
#[must_use]
pub fn lookup_port(port: u16) -> Option<(usize, usize)> {
    let offset = port.checked_sub(BASE_PORT)?;
    let (service, priority) = (offset / PORTS_PER_SERVICE, offset % PORTS_PER_SERVICE);
    (service < 2 && usize::from(priority) < PRIORITIES.len()).then(|| (service.into(), priority.into()))
}

/// A flood of openings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flood {
    /// Priority of the flood.
    pub priority: usize,
    /// Openings as a percentage of the hosts' capacity.
    pub load: u32,
}

/// Fault of the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Some load reports have a random state and a random number of busy slots.
    Misleading,
    /// The first host of each service has just started.
    Cold,
    /// The first host of each service sheds all openings.
    Shedding,
    /// The first host of each service answers no opening.
    Silent,
    /// A fifth of the hosts of each service starts draining after a third of the run.
    Drain,
}

/// Load and fault of a run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Steady load as a percentage of the hosts' capacity.
    pub load: u32,
    /// Flood that adds to the steady load.
    pub flood: Option<Flood>,
    /// Fault of the targets.
    pub fault: Fault,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 9] = [
    Scenario { name: "calm_lagging_reports", load: 60, flood: None, fault: Fault::None },
    Scenario { name: "misleading_reports", load: 60, flood: None, fault: Fault::Misleading },
    Scenario {
        name: "least_urgent_flood",
        load: 50,
        flood: Some(Flood { priority: 2, load: 1_000 }),
        fault: Fault::None,
    },
    Scenario { name: "most_urgent_flood", load: 50, flood: Some(Flood { priority: 0, load: 500 }), fault: Fault::None },
    Scenario { name: "established_overload", load: 150, flood: None, fault: Fault::None },
    Scenario { name: "one_target_cold", load: 60, flood: None, fault: Fault::Cold },
    Scenario { name: "one_target_shedding", load: 60, flood: None, fault: Fault::Shedding },
    Scenario { name: "one_target_silent", load: 60, flood: None, fault: Fault::Silent },
    Scenario { name: "drain_in_flood", load: 50, flood: Some(Flood { priority: 2, load: 1_000 }), fault: Fault::Drain },
];

/// Admission policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The load balancer's own gate, with a queue order within each priority.
    Design(Order),
    /// Baseline that hashes flows to hosts, first come, first served.
    Naive,
}

impl Policy {
    /// Returns the name of the policy in the output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Design(Order::Arrival) => "design",
            Self::Design(Order::Newest) => "design_newest_first",
            Self::Design(Order::Deadline) => "design_deadline_order",
            Self::Naive => "naive",
        }
    }

    /// Returns a gate of this policy.
    #[must_use]
    pub fn gate(self, seed: u64) -> Box<dyn Gate> {
        match self {
            Self::Design(order) => gate(Settings { order, ..Default::default() }),
            Self::Naive => Box::new(Naive::new(seed)),
        }
    }
}

/// Returns the priorities with which the gates are configured.
#[must_use]
pub fn priorities() -> Vec<Priority> {
    Settings::default().priorities
}
