//! Failures and changes.

use super::{
    ANNOUNCED_MS, Action, Arc, Config, DETECTED_MS, DRAIN, Duration, Event, FABRIC_LAG, HostState, Knowledge, MemberId,
    News, Node, Ownership, PUBLISHED_MS, Pick, Presence, Range, RngExt, State, Time, World, ZONES, balancer, views,
};
use crate::net::plan::Change;

impl World<'_> {
    pub(super) fn act(&mut self, action: &Action) {
        match *action {
            Action::Join => self.join(),
            Action::Leave(pick) => self.leave(pick),
            Action::Kill(pick) => self.kill(pick),
            Action::Freeze(pick) => self.freeze(pick),
            Action::Resume => self.resume(),
            Action::Publish(change) => self.publish(change),
            Action::Stop => self.stop(),
            Action::Convert => self.convert(),
            Action::Cut(zone) => self.set_cut(Some(zone)),
            Action::Heal => self.set_cut(None),
            Action::Late(pick, late) => {
                if let Some(index) = self.pick(pick) {
                    self.nodes[index].late = late;
                }
            }
            Action::Duplicate => self.duplicates = true,
            Action::Delay => self.delays = true,
            Action::Silence(percent) => {
                for host in &mut self.targets.hosts {
                    host.silence(|| self.rng.random_range(0..100) < percent);
                }
            }
        }
    }

    /// Starts a balancer that does not know the fleet yet.
    pub(super) fn add_node(&mut self, zone: usize) -> usize {
        let id = MemberId(self.rng.random());
        let balancer = if self.setup.is_design { balancer::engine(id, self.rng.random()) } else { balancer::plain() };
        let index = self.nodes.len();
        self.nodes.push(Node {
            id,
            zone,
            state: State::Live,
            balancer,
            knowledge: Knowledge::default(),
            deadline: Time::NEVER,
            socket: Vec::new(),
            late: Duration::ZERO,
        });
        self.ids.insert(id, index);
        self.count += 1;
        self.truth.learn(self.count, News::Member(id, Some(Presence::Alive)));
        index
    }

    pub(super) fn apply(&mut self, index: usize) {
        let view = self.nodes[index].knowledge.view(self.nodes[index].id);
        self.with(index, |balancer, now, sent| balancer.apply(now, &view, sent));
    }

    fn join(&mut self) {
        let index = self.add_node(self.nodes.len() % ZONES);
        self.nodes[index].knowledge = self.truth.clone();
        self.apply(index);
        let news = News::Member(self.nodes[index].id, Some(Presence::Alive));
        self.tell(&news, ANNOUNCED_MS);
        self.at(self.now + FABRIC_LAG, Event::Fabric(index, true));
    }

    fn leave(&mut self, pick: Pick) {
        let Some(index) = self.pick(pick) else { return };
        let news = News::Member(self.nodes[index].id, Some(Presence::Leaving));
        self.tell(&news, ANNOUNCED_MS);
        self.count += 1;
        self.nodes[index].knowledge.learn(self.count, news);
        self.with(index, |balancer, now, sent| balancer.drain(now, sent));
        self.apply(index);
        self.at(self.now + FABRIC_LAG, Event::Fabric(index, false));
        self.at(self.now + DRAIN, Event::Exit(index));
    }

    fn kill(&mut self, pick: Pick) {
        let Some(index) = self.pick(pick) else { return };
        self.nodes[index].state = State::Gone;
        self.lose(index);
    }

    fn freeze(&mut self, pick: Pick) {
        let Some(index) = self.pick(pick) else { return };
        self.nodes[index].state = State::Frozen;
        self.lose(index);
    }

    /// The others find that a balancer does not answer.
    fn lose(&mut self, index: usize) {
        let news = News::Member(self.nodes[index].id, None);
        self.tell(&news, DETECTED_MS);
        self.at(self.now + FABRIC_LAG, Event::Fabric(index, false));
    }

    /// Frozen balancers go on with their old view, handle what waits in the socket, and announce themselves again.
    fn resume(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].state != State::Frozen {
                continue;
            }
            self.nodes[index].state = State::Live;
            for event in std::mem::take(&mut self.nodes[index].socket) {
                let wait = if matches!(event, Event::News(..)) { self.random(&ANNOUNCED_MS) } else { Duration::ZERO };
                self.after(wait, event);
            }
            let news = News::Member(self.nodes[index].id, Some(Presence::Alive));
            self.tell(&news, ANNOUNCED_MS);
            self.at(self.now + FABRIC_LAG, Event::Fabric(index, true));
        }
    }

    fn publish(&mut self, change: Change) {
        let Some(old) = self.truth.config() else { return };
        let mut config = Config::clone(old);
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
            Change::Take => {
                if let Some(mut target) = Arc::make_mut(&mut config.services[1]).targets.pop() {
                    target.released = false;
                    "target-0-moved".clone_into(&mut target.name);
                    Arc::make_mut(&mut config.services[0]).targets.push(target);
                    views::index(&mut config);
                }
            }
        }
        self.mark_special(&config);
        self.tell(&News::Config(Arc::new(config)), PUBLISHED_MS);
    }

    /// Hosts that a change takes work from do not count for the balance.
    fn mark_special(&mut self, config: &Config) {
        for target in config.services.iter().flat_map(|service| &service.targets) {
            let leaves = target.draining || target.released || target.name == "target-0-moved";
            if let Some(host) = self.targets.get(target.address).filter(|_| leaves) {
                host.target.special = true;
            }
        }
    }

    fn stop(&mut self) {
        let Some(host) = self.targets.hosts.last_mut() else { return };
        let (address, resets) = (host.address, host.stop());
        self.answer(address, &resets);
    }

    fn convert(&mut self) {
        let Some(host) = self.targets.hosts.last_mut() else { return };
        host.convert(0);
        // Balancers whose configuration has the target in the old service learn from its report that it is misplaced.
        let (address, old) = (host.address, 1);
        self.count += 1;
        for index in 0..self.nodes.len() {
            let Some(config) = self.nodes[index].knowledge.config() else { continue };
            let endpoint = std::net::SocketAddrV4::new(address, views::service(0, 0).port());
            if config.endpoints.get(&endpoint).is_some_and(|service| service.0 == old) {
                self.tell_one(index, News::Host(address, HostState::Misplaced), &DETECTED_MS);
            }
        }
    }

    fn set_cut(&mut self, cut: Option<usize>) {
        let zone = cut.or(self.cut);
        self.cut = cut;
        let state = if cut.is_none() { HostState::Serving } else { HostState::Down };
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(|&index| self.nodes[index].state == State::Live).collect();
        for &one in &nodes {
            let is_apart = |other: usize| (Some(other) == zone) != (Some(self.nodes[one].zone) == zone);
            let others = self.nodes.iter().filter(|other| is_apart(other.zone));
            let presence = |id| if cut.is_none() { self.truth.presence(id) } else { None };
            let mut news: Vec<News> = others.map(|other| News::Member(other.id, presence(other.id))).collect();
            let hosts = self.targets.hosts.iter().filter(|host| is_apart(host.zone));
            news.extend(hosts.map(|host| News::Host(host.address, state)));
            self.count += 1;
            for news in news {
                self.tell_one(one, news, &DETECTED_MS);
            }
        }
    }

    /// Tells news to every balancer, to each at another time.
    pub(super) fn tell(&mut self, news: &News, range: Range) {
        self.count += 1;
        self.truth.learn(self.count, news.clone());
        let source = match news {
            News::Member(id, _) => self.ids.get(id).copied(),
            News::Host(..) | News::Config(_) => None,
        };
        for index in 0..self.nodes.len() {
            let is_apart = source.is_some_and(|source| self.is_cut(self.nodes[source].zone, self.nodes[index].zone));
            // A balancer is always a member in its own view, and learns over there what happened when the cut ends.
            let is_own_loss = source == Some(index) && matches!(news, News::Member(_, None));
            if !is_apart && !is_own_loss {
                self.tell_one(index, news.clone(), &range);
            }
        }
    }

    fn tell_one(&mut self, index: usize, news: News, range: &Range) {
        if self.nodes[index].state == State::Gone {
            return;
        }
        let wait = self.random(range) + self.nodes[index].late;
        self.at(self.now + wait, Event::News(index, self.count, news));
    }

    fn random(&mut self, range: &Range) -> Duration {
        Duration::from_millis(self.rng.random_range(range.clone()))
    }

    fn pick(&self, pick: Pick) -> Option<usize> {
        match pick {
            Pick::Oldest => (0..self.nodes.len()).find(|&index| self.is_member(index)),
            Pick::Owner(service) => {
                let config = self.truth.config()?;
                let mut ownership = Ownership::default();
                ownership.set_members(&self.truth.view(MemberId::default()).members);
                ownership.set_config(config);
                let live = (0..self.nodes.len()).filter(|&index| self.is_member(index));
                let owns = |index: &usize| {
                    let mut shards = ownership.owned_by(self.nodes[*index].id);
                    shards.any(|(owned, _, _)| owned.0 as usize == service)
                };
                live.into_iter().find(owns)
            }
        }
    }

    /// Returns true for a balancer that runs and does not leave.
    fn is_member(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let view = self.truth.view(node.id);
        let is_alive = view.members.iter().any(|known| known.id == node.id && known.presence == Presence::Alive);
        node.state == State::Live && is_alive
    }
}

fn release(config: &mut Config, service: usize) {
    if let Some(target) = Arc::make_mut(&mut config.services[service]).targets.last_mut() {
        target.released = true;
    }
}
