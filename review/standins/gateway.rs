//! Gateway processes, started with the command and the template of the deploy file.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http::Client;

const PROGRAM: &str = "target/deploy/citrongw-platform";
const TEMPLATE: &str = "deploy/gateway.ini.template";

/// Loopback address of this run; each number has another.
pub fn loopback(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + number, (pid >> 8) as u8, (pid as u8).clamp(1, 254))
}

/// Creates the temporary folder of this run.
pub fn temporary_folder() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("citrongw-review-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Running gateway, killed on drop.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

fn free_addr(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Starts a gateway and waits until it is ready. Its log goes to the folder.
pub fn spawn(folder: &Path, name: &str, number: u8, store: SocketAddr) -> io::Result<Gateway> {
    let ip = loopback(number);
    let (callers, ready) = (free_addr(ip)?, free_addr(ip)?);
    let mut settings = fs::read_to_string(TEMPLATE)?;
    for (placeholder, value) in [
        ("{{node_name}}", name.to_owned()),
        ("{{zone}}", "cantabria-a".to_owned()),
        ("{{listen.front_addr}}", callers.to_string()),
        ("{{listen.ready_addr}}", ready.to_string()),
        ("{{ip}}", ip.to_string()),
        ("{{platform.address}}", store.to_string()),
        ("{{bounds.grace_s}}", "8".to_owned()),
        ("{{bounds.stall_ms}}", "6000".to_owned()),
        ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
        ("{{bounds.retry_slack}}", "283".to_owned()),
        ("{{bounds.budget_window_s}}", "10".to_owned()),
    ] {
        settings = settings.replace(placeholder, &value);
    }
    let config = folder.join(format!("{name}.ini"));
    fs::write(&config, settings)?;
    let log = fs::File::create(folder.join(format!("{name}.log")))?;
    let mut command = Command::new(PROGRAM);
    command.arg("run").arg("--config").arg(&config);
    let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
    let gateway = Gateway { child, callers, ready };
    let until = Instant::now() + Duration::from_secs(20);
    while !gateway.is_ready() {
        if until < Instant::now() {
            return Err(io::Error::other("the gateway did not become ready"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(gateway)
}

impl Gateway {
    /// Asks for its readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let asked = Client::connect(self.ready, "ready", Duration::from_secs(1))
            .and_then(|mut it| it.send("GET", "/v1/readiness", &[], ""));
        asked.is_ok_and(|it| it.status() == 200)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

impl Gateway {
    /// Begins a planned stop.
    pub fn terminate(&mut self) {
        if self.is_running() {
            // SAFETY: the process is a child that was not waited for yet.
            unsafe { kill(self.pid() as i32, SIGTERM) };
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
