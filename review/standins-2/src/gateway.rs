//! The project's program as a process, with the settings that the platform fills in.

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::http;

const PROGRAM: &str = "target/deploy/citrongw-platform";
const TEMPLATE: &str = "deploy/gateway.ini.template";

/// Gateways that run.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all gateways that were started.
pub fn kill_all() {
    for mut child in CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Running gateway.
pub struct Gateway {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// Address of 127.0.0.0/8 on which all ports of a machine are free.
pub fn free_ip(machine: u8) -> String {
    let pid = std::process::id();
    for turn in 0..200u32 {
        let ip = format!("127.{}.{}.{machine}", 20 + (pid + turn) % 200, 1 + (pid / 200) % 250);
        let ports = [7340, 7341, 8220, 8227];
        let is_free = ports.iter().all(|port| {
            let addr = format!("{ip}:{port}");
            TcpListener::bind(&addr).is_ok() && UdpSocket::bind(&addr).is_ok()
        });
        if is_free {
            return ip;
        }
    }
    panic!("no free address");
}

/// Starts a gateway with the deploy file's command and template.
pub fn spawn(folder: &Path, name: &str, ip: &str, store: SocketAddr) -> Gateway {
    let mut text = fs::read_to_string(TEMPLATE).expect("no template");
    let store = store.to_string();
    let (callers, ready) = (format!("{ip}:8227"), format!("{ip}:8220"));
    // Figures of the deployment lengueta-gw.
    let values = [
        ("node_name", name),
        ("zone", "cantabria-a"),
        ("region", "iberia-north"),
        (
            "zones",
            r#"{"cantabria-a":"iberia-north","cantabria-b":"iberia-north","cantabria-c":"iberia-north"}"#,
        ),
        ("listen.front_addr", &callers),
        ("listen.ready_addr", &ready),
        ("ip", ip),
        ("bounds.grace_s", "8"),
        ("platform.address", &store),
        ("bounds.stall_ms", "6000"),
        ("bounds.retry_budget_ratio", "0.2"),
        ("bounds.retry_slack", "283"),
        ("bounds.budget_window_s", "10"),
        ("bounds.cold_overage", ""),
        ("bounds.cold_slack", ""),
        ("limits.memory_mb", "182"),
        ("limits.max_fds", "2940"),
    ];
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), value);
    }
    let path: PathBuf = folder.join(format!("{name}.ini"));
    fs::write(&path, text).expect("could not write the settings");
    let log = fs::File::create(folder.join(format!("{name}.log"))).expect("no log");
    let child = Command::new(PROGRAM)
        .args(["run", "--config"])
        .arg(&path)
        .env_clear()
        .stdout(log.try_clone().expect("no log"))
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
        .expect("could not start the gateway");
    CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).push(child);
    let addr = |text: &str| text.parse().expect("no address");
    Gateway { callers: addr(&callers), ready: addr(&ready) }
}

/// Whether any gateway has ended by itself.
pub fn has_any_ended() -> bool {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    children.iter_mut().any(|it| !matches!(it.try_wait(), Ok(None)))
}

impl Gateway {
    /// Whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = http::connect(self.ready) else { return false };
        let request = http::request_bytes("GET", "/v1/readiness", &[("Host", "ready")], b"");
        let _ = connection.write(&request);
        connection.response(Duration::from_millis(500)).status == 200
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
