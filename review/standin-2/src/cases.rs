//! The cases.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::site::{Fate, Site};

const STABILITY: Duration = Duration::from_millis(4000);
const DISRUPTION: Duration = Duration::from_millis(2000);

pub fn run(case: &str, edge: PathBuf, folder: PathBuf, trouble: bool) -> Result<(String, bool), String> {
    match case {
        "freeze" => freeze(edge, folder, trouble),
        "foreign" => foreign(edge, folder, trouble),
        "moved" => moved(edge, folder, trouble),
        "drain" => drain(edge, folder, trouble),
        "name" => name(edge, folder, trouble),
        other => Err(format!("case {other:?} is unknown")),
    }
}

/// Starts all processes and waits until traffic starts, 10 s after the machines.
fn begin(site: &mut Site) -> Result<(), String> {
    for index in 0..site.nodes.len() {
        site.start_node(index)?;
    }
    site.run_until(site.start + Duration::from_secs(10));
    if let Some(index) = (0..site.nodes.len()).find(|index| !site.in_rotation(*index)) {
        return Err(format!("edge-{index} is not ready 10 s after its start"));
    }
    site.note("all machines are in rotation; traffic starts");
    Ok(())
}

/// Returns the flows that rule FLOW counts: (a) a reset that the flow's host did not send, (b) for 2 s three or more
/// packets reach other hosts and none its own. Only what happens from `from` on is judged.
fn broken_flows(site: &Site, from: Instant) -> Vec<(usize, String)> {
    let mut broken = Vec::new();
    for (index, flow) in site.flows.iter().enumerate() {
        let Some((opened, own)) = flow.opened else { continue };
        let reset = flow.requests.iter().find_map(|request| match request.fate {
            Fate::ResetBySystem(at) if at >= from => Some(at),
            _ => None,
        });
        if let Some(at) = reset {
            broken.push((index, format!("(a) reset by the system at {:.3} s", site.seconds(at))));
            continue;
        }
        let mut foreign: Vec<Instant> = Vec::new();
        let mut run = None;
        // The flow lasts until its consumer gives up.
        let gives_up = flow.requests.last().map_or(opened, |request| request.sent + site.budget);
        for (at, host, _) in flow.arrivals.iter().filter(|(at, ..)| *at >= opened && *at >= from) {
            if *host == own {
                foreign.clear();
                continue;
            }
            foreign.push(*at);
            let in_time = foreign.iter().filter(|other| **other <= foreign[0] + DISRUPTION).count();
            let next_own =
                flow.arrivals.iter().find(|(at, host, _)| *host == own && *at > foreign[0]).map(|(at, ..)| *at);
            let end = next_own.unwrap_or(gives_up).min(gives_up);
            if in_time >= 3 && end >= foreign[0] + DISRUPTION {
                run = Some((foreign[0], in_time, *host));
                break;
            }
        }
        if let Some((at, count, host)) = run {
            let text = format!(
                "(b) from {:.3} s on {count} packets in 2 s reach host {host} and others, none its own host {own}",
                site.seconds(at)
            );
            broken.push((index, text));
        }
    }
    broken
}

fn freeze(edge: PathBuf, folder: PathBuf, trouble: bool) -> Result<(String, bool), String> {
    let mut site = Site::new(edge, folder, 2, 2)?;
    begin(&mut site)?;
    let start = Instant::now();
    let frozen = 0;
    let frozen_at = start + Duration::from_millis(3000);
    let woken_at = frozen_at + Duration::from_millis(3000);
    let in_touch = woken_at + STABILITY;
    // The second request of each flow is sent when the machine has been in touch for 1 to 2.2 s.
    site.second_at = Some(in_touch + Duration::from_millis(1000));
    site.rate = 120.0;
    site.run_until(frozen_at);
    if trouble {
        site.signal(frozen, "STOP");
    }
    site.run_until(frozen_at + Duration::from_millis(2500));
    site.second_at = None;
    site.rate = 40.0;
    site.run_until(woken_at);
    if trouble {
        site.signal(frozen, "CONT");
    }
    site.run_until(in_touch + Duration::from_millis(2300));
    site.rate = 0.0;
    site.run_until(in_touch + Duration::from_millis(2300) + site.budget + Duration::from_millis(200));
    let ended = site.ended();
    site.stop();
    let broken = broken_flows(&site, in_touch);
    Ok((report(&site, &broken, in_touch, &ended), !broken.is_empty()))
}

/// Another writer leaves two entries that name no host to use: one under the name of a live host in which fields are
/// missing, and one with that host's address and a service that no configuration names.
fn foreign(edge: PathBuf, folder: PathBuf, trouble: bool) -> Result<(String, bool), String> {
    let mut site = Site::new(edge, folder, 2, 2)?;
    site.write_config("non_idempotent");
    begin(&mut site)?;
    let start = Instant::now();
    let written_at = start + Duration::from_millis(4500);
    site.second_at = Some(written_at + Duration::from_millis(2500));
    site.rate = 40.0;
    site.run_until(start + Duration::from_millis(4000));
    site.second_at = None;
    let victim = 0;
    let (name, address, zone) =
        (site.servers[victim].name.clone(), site.servers[victim].address, site.servers[victim].zone);
    if trouble {
        let id = 0x7f3b_0000_u64 + u64::from(std::process::id() & 0xffff);
        let spec = format!(
            "{{\"service\":\"inventory\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{}}}",
            crate::site::ZONES[zone],
            site.servers[victim].born
        );
        site.store.set("servers", &format!("i-{id:x}"), &spec);
        site.note(&format!("another writer: entry i-{id:x} with service inventory (not named) at {address}"));
    }
    site.run_until(written_at);
    // Right after a heartbeat of the host, which writes its entry again with the next one.
    let beat = site.servers[victim].next_beat;
    site.run_until(beat + Duration::from_millis(5));
    if trouble {
        site.store.set("servers", &name, "{\"service\":\"pour-slot\"}");
        site.note(&format!(
            "another writer: entry {name} (host {victim}) without address, zone, version, slots, state"
        ));
    }
    site.run_until(written_at + Duration::from_millis(4500));
    site.rate = 0.0;
    site.run_until(written_at + Duration::from_millis(4500) + site.budget + Duration::from_millis(200));
    let ended = site.ended();
    site.stop();
    let broken = broken_flows(&site, start);
    Ok((report(&site, &broken, start, &ended), !broken.is_empty()))
}

/// Another writer leaves one large entry whose name cannot be read; later all processes are killed.
fn name(edge: PathBuf, folder: PathBuf, trouble: bool) -> Result<(String, bool), String> {
    let mut site = Site::new(edge, folder, 1, 2)?;
    begin(&mut site)?;
    let start = Instant::now();
    site.rate = 40.0;
    site.run_until(start + Duration::from_millis(1000));
    if trouble {
        // The name was cut within a character, after the first half of a pair.
        site.store.set("servers", "backup-\\ud83d", &format!("\"{}\"", "#".repeat(1_040_000)));
        site.note("another writer: one entry of 1,040,000 bytes whose name ends within a character");
    }
    site.run_until(start + Duration::from_millis(5000));
    let killed_at = Instant::now();
    for index in 0..site.nodes.len() {
        site.kill_node(index);
    }
    site.run_until(killed_at + Duration::from_millis(1200));
    for index in 0..site.nodes.len() {
        site.start_node(index)?;
    }
    let back = Instant::now();
    let from = back + Duration::from_secs(12);
    site.run_until(from + Duration::from_secs(4));
    site.rate = 0.0;
    site.run_until(from + Duration::from_secs(4) + site.budget + Duration::from_millis(200));
    let ready = (0..site.nodes.len()).filter(|index| site.in_rotation(*index)).count();
    site.note(&format!("{ready} of {} machines are ready", site.nodes.len()));
    let ended = site.ended();
    site.stop();
    let share = |site: &Site, from: Instant, to: Instant| {
        let requests = site.flows.iter().flat_map(|flow| &flow.requests);
        let sent: Vec<_> = requests.filter(|request| request.sent >= from && request.sent < to).collect();
        (sent.iter().filter(|request| matches!(request.fate, Fate::Answered(_))).count(), sent.len())
    };
    let (before, after) = (share(&site, start, killed_at), share(&site, from, from + Duration::from_secs(60)));
    let broken = before.0 * 4 >= before.1 && after.0 * 4 < after.1;
    let mut text = format!(
        "RECOVER {}: {} of {} requests served that were sent later than 12 s after the machines were back; before the final fault {} of {}; processes ended {ended:?}\n",
        if broken { "BROKEN" } else { "held" },
        after.0,
        after.1,
        before.0,
        before.1
    );
    text += &site.journal;
    text += "\n";
    text += &site.requests();
    Ok((text, broken))
}

fn report(site: &Site, broken: &[(usize, String)], from: Instant, ended: &[usize]) -> String {
    let requests: Vec<_> = site.flows.iter().flat_map(|flow| &flow.requests).collect();
    let late = requests.iter().filter(|request| request.sent >= from);
    let unanswered = late.filter(|request| !matches!(request.fate, Fate::Answered(_))).count();
    let mut text = format!(
        "FLOW {}: {} of {} open flows broken; {} of {} requests answered, {unanswered} judged ones without an answer; altered {}, mixed {}, processes ended {ended:?}\n",
        if broken.is_empty() { "held" } else { "BROKEN" },
        broken.len(),
        site.flows.iter().filter(|flow| flow.opened.is_some()).count(),
        requests.iter().filter(|request| matches!(request.fate, Fate::Answered(_))).count(),
        requests.len(),
        site.altered,
        site.mixed,
    );
    text += &site.journal;
    for (index, why) in broken {
        text += &format!("\nflow {index}: {why}\n{}", site.describe(*index));
    }
    text += "\n";
    text += &site.requests();
    text
}

/// The entry of [`name`], and an outage of the store. Later a host drains.
fn drain(edge: PathBuf, folder: PathBuf, trouble: bool) -> Result<(String, bool), String> {
    let mut site = Site::new(edge, folder, 2, 2)?;
    begin(&mut site)?;
    let start = Instant::now();
    site.rate = 60.0;
    site.run_until(start + Duration::from_millis(1000));
    if trouble {
        site.store.set("servers", "backup-\\ud83d", &format!("\"{}\"", "#".repeat(1_040_000)));
        site.note("another writer: one entry of 1,040,000 bytes whose name ends within a character");
    }
    site.run_until(start + Duration::from_millis(2000));
    if trouble {
        site.store.set_silent(true);
        site.note("the store is down (silent)");
    }
    site.run_until(start + Duration::from_millis(5000));
    if trouble {
        site.store.set_silent(false);
        site.note("the store is back");
    }
    // The store has been stable for a second more than it needs.
    site.run_until(start + Duration::from_millis(5000) + STABILITY + Duration::from_millis(1000));
    let host = 0;
    let confirmed = site.drain(host);
    site.run_until(confirmed + Duration::from_secs(9));
    site.rate = 0.0;
    site.run_until(confirmed + Duration::from_secs(11));
    let ended = site.ended();
    site.stop();
    let bound = confirmed + Duration::from_millis(3000);
    let mut late = Vec::new();
    for (index, flow) in site.flows.iter().enumerate().filter(|(_, flow)| flow.started > bound) {
        if let Some((at, ..)) = flow.arrivals.iter().find(|(_, to, is_opening)| *to == host && *is_opening) {
            let after = flow.started.duration_since(confirmed).as_secs_f64();
            late.push((
                index,
                format!("opening sent {after:.3} s after the confirmation, at the host {:.3} s", site.seconds(*at)),
            ));
        }
    }
    let verdict = if late.is_empty() { "held" } else { "BROKEN" };
    let mut text = format!(
        "DRAIN {verdict}: {} openings sent later than 3 s after the confirmation reached the host that drains; {} flows; processes ended {ended:?}\n",
        late.len(),
        site.flows.len(),
    );
    text += &site.journal;
    for (index, why) in &late {
        text += &format!("\nflow {index}: {why}\n{}", site.describe(*index));
    }
    text += "\n";
    text += &site.requests();
    Ok((text, !late.is_empty()))
}

/// One machine freezes, and its flows go on through others. Soon after it has woken, a host is cut off.
fn moved(edge: PathBuf, folder: PathBuf, trouble: bool) -> Result<(String, bool), String> {
    let mut site = Site::new(edge, folder, 2, 2)?;
    begin(&mut site)?;
    let start = Instant::now();
    let frozen = 0;
    let frozen_at = start + Duration::from_millis(4000);
    let woken_at = frozen_at + Duration::from_millis(2500);
    // Flows with a request every 0.7 s.
    site.every = Some(Duration::from_millis(700));
    site.bytes = 2000;
    site.rate = 260.0;
    site.run_until(start + Duration::from_millis(800));
    site.every = None;
    let regular = site.flows.len();
    // Flows that ask for the largest photo of the site, and again while the machine is frozen.
    site.second_at = Some(frozen_at);
    site.bytes = 240_000;
    site.keep = true;
    site.rate = 40.0;
    site.run_until(frozen_at - Duration::from_millis(200));
    let long = site.flows.len();
    site.second_at = None;
    site.keep = false;
    site.bytes = 2000;
    site.rate = 60.0;
    site.run_until(frozen_at);
    if trouble {
        site.signal(frozen, "STOP");
    }
    site.run_until(woken_at);
    if trouble {
        site.signal(frozen, "CONT");
    }
    site.run_until(woken_at + Duration::from_millis(700));
    // The host with most of the flows that sent a request to the frozen machine.
    let is_lost = |label: &str| label.starts_with("request");
    let through = |flow: &crate::site::Flow| {
        flow.sends.iter().any(|(at, node, label, _)| *node == frozen && *at >= frozen_at && is_lost(label))
    };
    let mut counts = vec![0; site.servers.len()];
    for flow in site.flows[regular..long].iter().filter(|flow| through(flow)) {
        if let Some((_, host)) = flow.opened {
            counts[host] += 1;
        }
    }
    let host = (0..counts.len()).max_by_key(|host| counts[*host]).unwrap_or(0);
    if trouble {
        site.cut_host(host, true)?;
    }
    site.run_until(woken_at + Duration::from_millis(3200));
    if trouble {
        site.cut_host(host, false)?;
    }
    site.run_until(woken_at + Duration::from_millis(4500));
    site.rate = 0.0;
    for flow in &mut site.flows {
        flow.every = None;
    }
    site.run_until(woken_at + Duration::from_millis(4700) + site.budget);
    let ended = site.ended();
    site.stop();
    let strays: Vec<(usize, String)> = (0..site.flows.len())
        .filter_map(|index| {
            let flow = &site.flows[index];
            let (at, distance) = flow.strays.first()?;
            flow.opened?;
            Some((index, format!("at {:.3} s a reset of the system {distance} from the last ack", site.seconds(*at))))
        })
        .collect();
    let verdict = if strays.is_empty() { "held" } else { "BROKEN" };
    let mut text = format!(
        "MIXED {verdict}: {} resets on open flows whose seq is more than 76,800 from the consumer's last ack; {} flows; altered {}, mixed {}, processes ended {ended:?}\n",
        strays.len(),
        site.flows.len(),
        site.altered,
        site.mixed,
    );
    text += &site.journal;
    for (index, why) in &strays {
        text += &format!("\nflow {index}: {why}\n{}", site.describe(*index));
    }
    text += "\n";
    text += &site.requests();
    Ok((text, !strays.is_empty()))
}
