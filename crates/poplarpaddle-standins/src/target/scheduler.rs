//! Schedules the requests of a target in a limited number of slots, with a queue in front of them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::protocol::Request;
use crate::stack::Handle;

/// Distribution of service times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// Mean service time in microseconds.
    pub mean: u64,
    /// Half-width of the uniform distribution, as a fraction of the mean.
    pub spread: f64,
    /// Multiplier of service times while the target is cold.
    pub cold_factor: f64,
    /// When the target stops being cold, in microseconds since the Unix epoch.
    pub warm_at: u64,
}

/// Identifies a connection. The serial number distinguishes it from a later one with the same handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    /// Handle of the connection.
    pub handle: Handle,
    /// Serial number of the connection at the target.
    pub serial: u64,
}

/// A request that is queued or running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Connection that the request arrived on.
    pub origin: Origin,
    /// The request.
    pub request: Request,
}

/// State change of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The job started and will finish at this time, in microseconds.
    Started(Job, u64),
    /// The job finished.
    Finished(Job),
    /// The deadline of the job passed before the job could start.
    Expired(Job),
}

/// Schedules the jobs of a target.
#[derive(Debug)]
pub struct Scheduler {
    slots: usize,
    max_waiting: usize,
    service_time: ServiceTime,
    rng: Pcg64,
    waiting: VecDeque<Job>,
    /// End time and start number of each running job.
    running: BinaryHeap<Reverse<(u64, u64)>>,
    /// Running jobs by start number, which is the value of `started` after the start of the job.
    jobs: std::collections::HashMap<u64, Job>,
    started: u64,
}

impl Scheduler {
    /// Returns an idle scheduler with `slots` slots that is full once `max_waiting` requests are queued.
    #[must_use]
    pub fn new(slots: usize, max_waiting: usize, service_time: ServiceTime, seed: u64) -> Self {
        Self {
            slots,
            max_waiting,
            service_time,
            rng: Pcg64::seed_from_u64(seed),
            waiting: VecDeque::new(),
            running: BinaryHeap::new(),
            jobs: std::collections::HashMap::new(),
            started: 0,
        }
    }

    /// Returns true if all slots are in use and the queue has reached its limit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.max_waiting && self.busy() >= self.slots
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests started so far.
    #[must_use]
    pub const fn started(&self) -> u64 {
        self.started
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Removes the queued requests of a closed connection.
    pub fn cancel(&mut self, origin: Origin) {
        self.waiting.retain(|job| job.origin != origin);
    }

    /// Returns the next state change that is due at `now`, or `None`.
    pub fn next_event(&mut self, now: u64) -> Option<Event> {
        if let Some(&Reverse((end, number))) = self.running.peek()
            && end <= now
        {
            self.running.pop();
            return self.jobs.remove(&number).map(Event::Finished);
        }
        if self.busy() >= self.slots {
            return None;
        }
        let job = self.waiting.pop_front()?;
        if job.request.deadline != 0 && job.request.deadline < now {
            return Some(Event::Expired(job));
        }
        let end = now + self.duration(now);
        self.started += 1;
        self.running.push(Reverse((end, self.started)));
        self.jobs.insert(self.started, job.clone());
        Some(Event::Started(job, end))
    }

    /// Returns when the next running request finishes, [`u64::MAX`] if none is running.
    #[must_use]
    pub fn due(&self) -> u64 {
        self.running.peek().map_or(u64::MAX, |&Reverse((end, _))| end)
    }

    fn duration(&mut self, now: u64) -> u64 {
        let spread = self.service_time.spread;
        let factor = if spread > 0.0 { self.rng.random_range(1.0 - spread..=1.0 + spread) } else { 1.0 };
        let cold_factor = if now < self.service_time.warm_at { self.service_time.cold_factor } else { 1.0 };
        let mean = std::time::Duration::from_micros(self.service_time.mean);
        u64::try_from(mean.mul_f64(factor * cold_factor).as_micros()).unwrap_or(u64::MAX)
    }
}
