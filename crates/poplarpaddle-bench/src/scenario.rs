//! Deployments, and what happens in a run.

use poplarpaddle::admission::{Gate, Order, Settings, gate};
use poplarpaddle::view::Priority;

use crate::naive::Naive;

/// Service port of the first priority of the first service.
const BASE_PORT: u16 = 8_000;

/// Distance between the ports of two services.
const PORTS_PER_SERVICE: u16 = 10;

/// Work of one priority.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Mean service time in microseconds.
    pub service_us: u64,
    /// Time from request to answer after which the answer is of no use, in microseconds.
    pub deadline_us: u64,
}

/// Work by priority, the most urgent first.
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

/// Sizes of a user's fleet.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name of the user.
    pub name: &'static str,
    /// Services.
    pub services: [Service; 2],
    /// Slots of each host.
    pub slots: u16,
    /// Connections that each host holds.
    pub connections: u32,
    /// One-way time between balancer and target, relay included, in microseconds.
    pub target_hop_us: u64,
    /// One-way time between caller and balancer, in microseconds.
    pub caller_hop_us: u64,
}

/// The two users of today.
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

/// Returns service and priority of a port, none when no service has the port.
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
    /// Openings as per cent of what the hosts take.
    pub load: u32,
}

/// What is wrong with the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Reports say cold, down or any number of busy slots at random.
    Misleading,
    /// The first host of each service has just started.
    Cold,
    /// The first host of each service sheds all openings.
    Shedding,
    /// The first host of each service answers no opening.
    Silent,
    /// A fifth of the hosts drains after a third of the run.
    Drain,
}

/// A run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Steady work as per cent of what the hosts take.
    pub load: u32,
    /// Flood on top.
    pub flood: Option<Flood>,
    /// What is wrong.
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

/// A policy of admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The gate of the design with an order within a priority.
    Design(Order),
    /// Plain hashing, first come first served.
    Naive,
}

impl Policy {
    /// Returns the name in reports.
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

/// Returns the priorities that the gates use.
#[must_use]
pub fn priorities() -> Vec<Priority> {
    Settings::default().priorities
}
