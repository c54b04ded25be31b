//! Runs a node in a separate process by starting the bench again with an
//! argument.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use citrongw::{demo::Fakes, node, settings};

/// Command-line argument that makes the bench process run as a node.
const NODE_ARGUMENT: &str = "--node-settings";
/// Clock ticks per second in which `/proc` reports CPU time.
const TICKS_PER_S: f64 = 100.0;

/// Returns the path of the node settings if this process was started as a node.
pub fn settings_path() -> Option<PathBuf> {
    let mut args = std::env::args().skip(1);
    (args.next()? == NODE_ARGUMENT).then(|| args.next().map(PathBuf::from))?
}

/// Runs as a node until standard input is closed.
pub fn run(path: &Path) {
    let settings = settings::open(path).expect("settings");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let node = node::spawn(settings).await.expect("node");
        println!("{}", node.caller_addr());
        std::io::stdout().flush().expect("output");
        let wait = tokio::task::spawn_blocking(|| std::io::stdin().read_line(&mut String::new()));
        // End of input and a read error both mean that the bench has exited.
        let _ = wait.await;
    });
    std::process::exit(0);
}

/// Handle of a node process, which is killed when the handle is dropped.
pub struct NodeProcess {
    child: Child,
    addr: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Starts a node that uses the given simulated services.
pub fn open(fakes: &Fakes) -> NodeProcess {
    let path = std::env::temp_dir().join(format!("citrongw-bench-{}.ini", std::process::id()));
    let text = format!(
        "[node]\nzone = demo-a\nregion = demo\ncaller-addr = 127.0.0.1:0\n\
         peer-addr = 127.0.0.1:0\nadmin-addr = 127.0.0.1:0\n\
         [store]\naddr = {}\n[platform]\ninstance-list-addr = {p}\nweight-store-addr = {p}\n",
        fakes.store_addr,
        p = fakes.platform_addr,
    );
    fs::write(&path, text).expect("settings file");
    let mut child = Command::new(std::env::current_exe().expect("program"))
        .arg(NODE_ARGUMENT)
        .arg(&path)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("node process");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("output");
    BufReader::new(stdout).read_line(&mut line).expect("address");
    fs::remove_file(path).ok();
    NodeProcess { addr: line.trim().parse().expect("address"), child }
}

impl NodeProcess {
    /// Address of the inference API.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// CPU time used so far, user and system.
    pub fn cpu_time(&self) -> Duration {
        let stat = self.read("stat");
        let (_, fields) = stat.rsplit_once(") ").expect("stat");
        let fields: Vec<&str> = fields.split(' ').collect();
        // Fields 14 and 15 of the full line are user and system time.
        let ticks: f64 = fields[11..13].iter().map(|it| it.parse::<f64>().expect("ticks")).sum();
        Duration::from_secs_f64(ticks / TICKS_PER_S)
    }

    /// Resident set size in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let status = self.read("status");
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("memory");
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("memory");
        kilobytes * 1024
    }

    fn read(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).expect("process state")
    }
}
