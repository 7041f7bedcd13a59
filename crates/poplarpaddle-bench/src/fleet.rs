//! Targets of a run with their faults and load reports.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use poplarpaddle::admission::Host;
use poplarpaddle::view::HostState;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::driver::Setup;
use crate::scenario::Fault;
use crate::target::{Report, Target};

/// Number of polls by which the load reports lag that the balancers see. Hosts are polled every second, so the lag is
/// 3 s.
const LAG_POLLS: usize = 3;

/// Number of load reports of which one is misleading, on average.
const MISLEADING_ONE_IN: u32 = 5;

/// States in misleading reports.
const MISLEADING: [HostState; 3] = [HostState::Cold, HostState::Down, HostState::Serving];

/// Index of a host: its service, and its number within the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostIndex {
    /// Index of the service.
    pub service: usize,
    /// Index within the service.
    pub host: usize,
}

impl HostIndex {
    /// Returns the address of the host, which encodes the index.
    #[must_use]
    pub fn address(self) -> Ipv4Addr {
        let octet = |index: usize| u8::try_from(index + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, octet(self.service), 0, octet(self.host))
    }

    const fn from_address(address: Ipv4Addr) -> Self {
        let [_, service, _, host] = address.octets();
        Self { service: service as usize - 1, host: host as usize - 1 }
    }
}

/// The targets of all services.
#[derive(Debug)]
pub struct Fleet {
    /// Open flows of a host divided by the mean of its service, for each host and sample.
    pub flow_balance: Vec<f64>,
    fault: Fault,
    targets: Vec<Vec<Target>>,
    /// Load reports that the balancers do not see yet, the oldest first. The outer index of an entry is the service.
    reports: VecDeque<Vec<Vec<Report>>>,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Returns the targets in their state before the trace begins.
    #[must_use]
    pub fn new(setup: &Setup<'_>) -> Self {
        let deployment = setup.deployment;
        let targets = deployment.services.iter().map(|service| {
            let affected = affected_hosts(setup.fault, service.hosts);
            let target = |host| {
                let mut target = Target::new(deployment.slots, deployment.connections);
                target.affected = host < affected;
                if target.affected && setup.fault == Fault::Cold {
                    target.state = HostState::Down;
                }
                target
            };
            (0..service.hosts).map(target).collect()
        });
        Self {
            flow_balance: Vec::new(),
            fault: setup.fault,
            targets: targets.collect(),
            reports: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
        }
    }

    /// Starts the faults that last from the start of the trace. A cold host comes up without established flows; hosts
    /// with another fault keep theirs.
    pub fn start_faults(&mut self) {
        for target in self.targets.iter_mut().flatten().filter(|target| target.affected) {
            target.sheds = self.fault == Fault::Shedding;
            target.silent = self.fault == Fault::Silent;
            if self.fault == Fault::Cold {
                target.state = HostState::Serving;
                target.make_cold();
            }
        }
    }

    /// Starts draining the affected hosts.
    pub fn drain(&mut self) {
        for target in self.targets.iter_mut().flatten().filter(|target| target.affected) {
            target.state = HostState::Draining;
        }
    }

    /// Returns the host with an address from [`HostIndex::address`].
    pub fn target(&mut self, address: Ipv4Addr) -> &mut Target {
        let index = HostIndex::from_address(address);
        &mut self.targets[index.service][index.host]
    }

    /// Returns true when the figures include the slots of the host; those of draining hosts are left out.
    #[must_use]
    pub fn is_counted(&self, address: Ipv4Addr) -> bool {
        let index = HostIndex::from_address(address);
        self.counts_slots(&self.targets[index.service][index.host])
    }

    /// Returns the number of slots that the figures include.
    #[must_use]
    pub fn counted_slots(&self) -> f64 {
        let counted = self.targets.iter().flatten().filter(|target| self.counts_slots(target));
        counted.map(|target| f64::from(target.slots)).sum()
    }

    fn counts_slots(&self, target: &Target) -> bool {
        !(self.fault == Fault::Drain && target.affected)
    }

    /// Collects a load report from each host.
    pub fn poll(&mut self) {
        let misleading = self.fault == Fault::Misleading;
        let rng = &mut self.rng;
        let mut report = |target: &Target| {
            let is_misleading = misleading && rng.random_range(0..MISLEADING_ONE_IN) == 0;
            if is_misleading {
                let state = MISLEADING[rng.random_range(0..MISLEADING.len())];
                Report { state, busy: rng.random_range(0..=target.slots) }
            } else {
                target.report()
            }
        };
        let reports = self.targets.iter().map(|targets| targets.iter().map(&mut report).collect()).collect();
        self.reports.push_back(reports);
        if self.reports.len() > LAG_POLLS + 1 {
            self.reports.pop_front();
        }
    }

    /// Returns the hosts of a service as the balancers see them: limits and draining are up to date, and load reports are
    /// `LAG_POLLS` polls old.
    #[must_use]
    pub fn hosts(&self, service: usize) -> Vec<Host> {
        let targets = self.targets[service].iter().zip(&self.reports[0][service]);
        let hosts = targets.enumerate().map(|(host, (target, report))| Host {
            address: HostIndex { service, host }.address(),
            slots: target.slots,
            connections: target.max_connections,
            state: if target.state == HostState::Draining { target.state } else { report.state },
            busy: Some(report.busy),
        });
        hosts.collect()
    }

    /// Records a sample of the open flows of each host that the fault does not affect.
    pub fn sample(&mut self) {
        for targets in &self.targets {
            let unaffected = targets.iter().filter(|target| !target.affected);
            self.flow_balance.extend(relative_to_mean(unaffected.map(|target| f64::from(target.connections))));
        }
    }

    /// Returns the slot time used by each host that the fault does not affect, divided by the mean of its service.
    #[must_use]
    pub fn work_balance(&self) -> Vec<f64> {
        let balance = self.targets.iter().flat_map(|targets| {
            let unaffected = targets.iter().filter(|target| !target.affected);
            relative_to_mean(unaffected.map(|target| target.busy_time.as_secs_f64()))
        });
        balance.collect()
    }
}

/// Returns the number of hosts of a service that the fault affects, which are its first ones.
const fn affected_hosts(fault: Fault, hosts: u8) -> u8 {
    match fault {
        Fault::Cold | Fault::Shedding | Fault::Silent => 1,
        Fault::Drain => hosts / 5,
        Fault::None | Fault::Misleading => 0,
    }
}

/// Returns the values divided by their mean, or no values when the mean is 0.
pub fn relative_to_mean(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    values.iter().filter(|_| mean > 0.0).map(|value| value / mean).collect()
}
