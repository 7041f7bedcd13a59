//! Planned changes and failures that a simulation performs.

use super::{
    ANNOUNCED_MS, Action, Arc, Config, DETECTED_MS, DRAIN_TIME, DelayRange, Duration, Event, FABRIC_LAG, FleetState,
    Host, HostState, MemberId, Node, Ownership, PUBLISHED_MS, Presence, RngExt, Selector, Simulation, State, Time,
    Update, ZONES, balancer, views,
};
use crate::net::plan::Change;

impl Simulation<'_> {
    pub(super) fn perform(&mut self, action: &Action) {
        match *action {
            Action::Join => self.join(),
            Action::Leave(selector) => self.leave(selector),
            Action::Kill(selector) => self.kill(selector),
            Action::Freeze(selector) => self.freeze(selector),
            Action::Resume => self.resume(),
            Action::Publish(change) => self.publish(change),
            Action::StopTarget => self.stop_target(),
            Action::ReassignTarget => self.reassign_target(),
            Action::Partition(zone) => self.set_partition(Some(zone)),
            Action::Heal => self.set_partition(None),
            Action::DelayUpdates(selector, delay) => {
                if let Some(index) = self.select(selector) {
                    self.nodes[index].update_delay = delay;
                }
            }
            Action::DuplicateOpenings => self.duplicates_openings = true,
            Action::DelayPackets => self.delays_packets = true,
            Action::SlowOpenings(stride, delay) => {
                self.every(stride, |host| host.opening_delay = delay);
            }
            Action::DropOpenings(stride) => self.every(stride, |host| host.drops_openings = true),
            Action::LoseOpenings(one_in) => self.lost_openings = Some(one_in),
            Action::Silence(percent) => {
                for host in &mut self.targets.hosts {
                    host.silence(|| self.rng.random_range(0..100) < percent);
                }
            }
        }
    }

    /// Changes one of `stride` hosts of each service.
    fn every(&mut self, stride: usize, change: impl Fn(&mut Host)) {
        let mut numbers = [0; 2];
        for host in &mut self.targets.hosts {
            if numbers[host.service] % stride == 0 {
                change(host);
            }
            numbers[host.service] += 1;
        }
    }

    /// Adds a balancer that does not know the fleet yet, and returns its index.
    pub(super) fn add_node(&mut self, zone: usize) -> usize {
        let id = MemberId(self.rng.random());
        let balancer = if self.setup.is_design {
            balancer::engine(id, self.rng.random(), self.setup.hedge_percent)
        } else {
            balancer::stateless()
        };
        let index = self.nodes.len();
        self.nodes.push(Node {
            id,
            zone,
            state: State::Live,
            balancer,
            fleet_state: FleetState::default(),
            deadline: Time::NEVER,
            socket_buffer: Vec::new(),
            update_delay: Duration::ZERO,
        });
        self.ids.insert(id, index);
        self.sequence += 1;
        self.actual.update(self.sequence, Update::Member(id, Some(Presence::Alive)));
        index
    }

    pub(super) fn apply(&mut self, index: usize) {
        let view = self.nodes[index].fleet_state.view(self.nodes[index].id);
        self.with_balancer(index, |balancer, now, egress| balancer.apply(now, &view, egress));
    }

    fn join(&mut self) {
        let index = self.add_node(self.nodes.len() % ZONES);
        self.nodes[index].fleet_state = self.actual.clone();
        self.apply(index);
        let update = Update::Member(self.nodes[index].id, Some(Presence::Alive));
        self.broadcast(&update, ANNOUNCED_MS);
        self.schedule_at(self.now + FABRIC_LAG, Event::Fabric(index, true));
    }

    fn leave(&mut self, selector: Selector) {
        let Some(index) = self.select(selector) else { return };
        let update = Update::Member(self.nodes[index].id, Some(Presence::Leaving));
        self.broadcast(&update, ANNOUNCED_MS);
        self.sequence += 1;
        self.nodes[index].fleet_state.update(self.sequence, update);
        self.with_balancer(index, |balancer, now, egress| balancer.drain(now, egress));
        self.apply(index);
        self.schedule_at(self.now + FABRIC_LAG, Event::Fabric(index, false));
        self.schedule_at(self.now + DRAIN_TIME, Event::Exit(index));
    }

    fn kill(&mut self, selector: Selector) {
        let Some(index) = self.select(selector) else { return };
        self.nodes[index].state = State::Gone;
        self.report_failure(index);
    }

    fn freeze(&mut self, selector: Selector) {
        let Some(index) = self.select(selector) else { return };
        self.nodes[index].state = State::Frozen;
        self.report_failure(index);
    }

    /// Lets the other balancers and the fabric detect that a balancer does not answer.
    fn report_failure(&mut self, index: usize) {
        let update = Update::Member(self.nodes[index].id, None);
        self.broadcast(&update, DETECTED_MS);
        self.schedule_at(self.now + FABRIC_LAG, Event::Fabric(index, false));
    }

    /// Resumes the frozen balancers, which continue with their old view, handle the contents of their socket buffers
    /// and announce themselves again.
    fn resume(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].state != State::Frozen {
                continue;
            }
            self.nodes[index].state = State::Live;
            for event in std::mem::take(&mut self.nodes[index].socket_buffer) {
                let delay =
                    if matches!(event, Event::Update(..)) { self.random_delay(&ANNOUNCED_MS) } else { Duration::ZERO };
                self.schedule_after(delay, event);
            }
            let update = Update::Member(self.nodes[index].id, Some(Presence::Alive));
            self.broadcast(&update, ANNOUNCED_MS);
            self.schedule_at(self.now + FABRIC_LAG, Event::Fabric(index, true));
        }
    }

    fn publish(&mut self, change: Change) {
        let Some(previous) = self.actual.config() else { return };
        let mut config = Config::clone(previous);
        config.generation += 1;
        match change {
            Change::Layout => {
                Arc::make_mut(&mut config.services[0]).shards += 1;
                for priority in &mut config.priorities {
                    priority.queue_ms += 100;
                }
                release(&mut config, 0);
            }
            Change::Drain => {
                for service in &mut config.services {
                    let service = Arc::make_mut(service);
                    let count = service.targets.len() / 5;
                    service.targets.iter_mut().take(count).for_each(|target| target.draining = true);
                }
            }
            Change::Release => release(&mut config, 1),
            Change::Assign => {
                if let Some(mut target) = Arc::make_mut(&mut config.services[1]).targets.pop() {
                    target.released = false;
                    "target-0-moved".clone_into(&mut target.name);
                    Arc::make_mut(&mut config.services[0]).targets.push(target);
                    views::rebuild_indexes(&mut config);
                }
            }
        }
        self.mark_affected(&config);
        self.broadcast(&Update::Config(Arc::new(config)), PUBLISHED_MS);
    }

    /// Excludes the hosts that lose work through a change from the figures of the balance between hosts.
    fn mark_affected(&mut self, config: &Config) {
        for target in config.services.iter().flat_map(|service| &service.targets) {
            let loses_work = target.draining || target.released || target.name == "target-0-moved";
            if let Some(host) = self.targets.get(target.address).filter(|_| loses_work) {
                host.target.affected = true;
            }
        }
    }

    fn stop_target(&mut self) {
        let Some(host) = self.targets.hosts.last_mut() else { return };
        let (address, resets) = (host.address, host.stop());
        self.send_answers(address, &resets);
    }

    fn reassign_target(&mut self) {
        let Some(host) = self.targets.hosts.last_mut() else { return };
        host.reassign(0);
        // Balancers whose configuration has the target in its previous service detect from its load report that it is
        // misplaced.
        let (address, previous) = (host.address, 1);
        self.sequence += 1;
        for index in 0..self.nodes.len() {
            let Some(config) = self.nodes[index].fleet_state.config() else { continue };
            let endpoint = std::net::SocketAddrV4::new(address, views::service_address(0, 0).port());
            if config.endpoints.get(&endpoint).is_some_and(|service| service.0 == previous) {
                self.send_update(index, Update::Host(address, HostState::Misplaced), &DETECTED_MS);
            }
        }
    }

    /// Partitions the zone `isolated` from the others, or ends the partition when it is `None`. The live balancers detect
    /// after a delay that balancers and hosts on the other side are gone or back.
    fn set_partition(&mut self, isolated: Option<usize>) {
        let zone = isolated.or(self.partitioned);
        self.partitioned = isolated;
        let state = if isolated.is_none() { HostState::Serving } else { HostState::Down };
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(|&index| self.nodes[index].state == State::Live).collect();
        for &receiver in &nodes {
            let is_apart = |other: usize| (Some(other) == zone) != (Some(self.nodes[receiver].zone) == zone);
            let others = self.nodes.iter().filter(|other| is_apart(other.zone));
            let presence = |id| if isolated.is_none() { self.actual.presence(id) } else { None };
            let mut updates: Vec<Update> = others.map(|other| Update::Member(other.id, presence(other.id))).collect();
            let hosts = self.targets.hosts.iter().filter(|host| is_apart(host.zone));
            updates.extend(hosts.map(|host| Update::Host(host.address, state)));
            self.sequence += 1;
            for update in updates {
                self.send_update(receiver, update, &DETECTED_MS);
            }
        }
    }

    /// Applies an update to the actual state and sends it to every reachable balancer, each with its own random delay.
    pub(super) fn broadcast(&mut self, update: &Update, range: DelayRange) {
        self.sequence += 1;
        self.actual.update(self.sequence, update.clone());
        let source = match update {
            Update::Member(id, _) => self.ids.get(id).copied(),
            Update::Host(..) | Update::Config(_) => None,
        };
        for index in 0..self.nodes.len() {
            let is_apart =
                source.is_some_and(|source| self.is_partitioned(self.nodes[source].zone, self.nodes[index].zone));
            // A balancer is always a member in its own view. One behind a partition receives the state of the other
            // side when the partition ends.
            let is_own_loss = source == Some(index) && matches!(update, Update::Member(_, None));
            if !is_apart && !is_own_loss {
                self.send_update(index, update.clone(), &range);
            }
        }
    }

    fn send_update(&mut self, index: usize, update: Update, range: &DelayRange) {
        if self.nodes[index].state == State::Gone {
            return;
        }
        let delay = self.random_delay(range) + self.nodes[index].update_delay;
        self.schedule_at(self.now + delay, Event::Update(index, self.sequence, update));
    }

    fn random_delay(&mut self, range: &DelayRange) -> Duration {
        Duration::from_millis(self.rng.random_range(range.clone()))
    }

    fn select(&self, selector: Selector) -> Option<usize> {
        match selector {
            Selector::Oldest => (0..self.nodes.len()).find(|&index| self.is_live_member(index)),
            Selector::Owner(service) => {
                let config = self.actual.config()?;
                let mut ownership = Ownership::default();
                ownership.set_members(&self.actual.view(MemberId::default()).members);
                ownership.set_config(config);
                let live = (0..self.nodes.len()).filter(|&index| self.is_live_member(index));
                let owns = |index: &usize| {
                    let mut shards = ownership.owned_by(self.nodes[*index].id);
                    shards.any(|(owned, _, _)| owned.0 as usize == service)
                };
                live.into_iter().find(owns)
            }
        }
    }

    /// Returns true for a balancer that is running and not leaving.
    fn is_live_member(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let view = self.actual.view(node.id);
        let is_alive = view.members.iter().any(|member| member.id == node.id && member.presence == Presence::Alive);
        node.state == State::Live && is_alive
    }
}

fn release(config: &mut Config, service: usize) {
    if let Some(target) = Arc::make_mut(&mut config.services[service]).targets.last_mut() {
        target.released = true;
    }
}
