//! The balancers under test: processes started by the command of the deploy file, and the routers' checks of them.

use std::fs::File;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Ports of a day; they are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub inner: u16,
    pub store: u16,
}

pub struct Edge {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub child: Option<Child>,
    /// Consecutive readiness checks that failed; two take the machine out of rotation.
    pub misses: u32,
    settings: PathBuf,
    log: PathBuf,
}

/// Returns the command of the role that serves consumers, from the deploy file.
fn command(root: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).unwrap_or_default();
    line.trim_matches('"').split(' ').map(str::to_owned).collect()
}

impl Edge {
    pub fn new(folder: &Path, number: usize, ip: Ipv4Addr, zone: &'static str) -> Self {
        let name = format!("edge-{zone}-{number}");
        let (settings, log) = (folder.join(format!("{name}.toml")), folder.join(format!("{name}.log")));
        Self { name, ip, zone, child: None, misses: 2, settings, log }
    }

    pub fn write_settings(&self, ports: Ports, seeds: &[Ipv4Addr], store: Ipv4Addr) -> std::io::Result<()> {
        let (ip, name, zone) = (self.ip, &self.name, self.zone);
        let seeds: Vec<String> = seeds.iter().take(3).map(|seed| format!("\"{seed}:{}\"", ports.control)).collect();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"balancer\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"control_plane\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"nz-south\"\ninternal_port_range = [{},{}]\nseeds = [{}]\n\
             bootstrap = true\nin_fault_budget = false\ndiscovery = \"platform\"\nentry = \"announce\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\nhash = \"steady\"\nencap = \"echo\"\n\
             [zones]\nnz-south-a = \"nz-south\"\nnz-south-b = \"nz-south\"\nnz-south-c = \"nz-south\"\n\
             [listen]\npacket_addr = \"{ip}:{}\"\nreadiness_addr = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
             [limits]\ncpu_share = 0.17\ncores = 1\nmemory_mb = 182\nmax_fds = 2870\nlink_mbps = 700.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstability_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\n\
             drain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n\
             max_stretch_ms = 12000\nrecovery_s = 12\nflow_disruption_ms = 2000\nflow_max_s = 60\n\
             [platform]\naddress = \"{store}:{}\"\nencap = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n",
            ports.inner,
            ports.inner + 15,
            seeds.join(","),
            ports.packets,
            ports.ready,
            ports.control,
            ports.store
        );
        std::fs::write(&self.settings, text)
    }

    pub fn start(&mut self, root: &Path) -> std::io::Result<()> {
        let words = command(root);
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(root.join(&words[0]));
        command.args(&words[1..]).current_dir(root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("POPLARPADDLE_BOOT", &self.settings).stdin(Stdio::null());
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        // The script ends the processes that are listed here if this program is ended itself.
        if let Some(list) = std::env::var_os("PIDS") {
            writeln!(File::options().create(true).append(true).open(list)?, "{}", child.id())?;
        }
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh").args(["-c", &format!("kill {signal} {}", child.id())]).status();
        }
    }

    /// Returns true once the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes a readiness check, as the routers do twice a second.
pub fn is_ready(address: SocketAddrV4) -> bool {
    let timeout = Duration::from_millis(450);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), timeout) else { return false };
    let _ = stream.set_read_timeout(Some(timeout));
    let request = "GET /poplarpaddle/ready HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut answer = [0; 64];
    let length = stream.read(&mut answer).unwrap_or(0);
    answer[..length].starts_with(b"HTTP/1.1 200")
}
