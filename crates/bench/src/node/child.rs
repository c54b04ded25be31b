//! A node in a process of its own: the bench started again with an argument.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use citrongw::{demo::Fakes, node, settings};

/// Argument that makes the bench a node.
const ARGUMENT: &str = "--node-settings";
/// Clock ticks a second in which the system counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// Settings of the node that this process is to be, if it is one.
pub fn settings_path() -> Option<PathBuf> {
    let mut args = std::env::args().skip(1);
    (args.next()? == ARGUMENT).then(|| args.next().map(PathBuf::from))?
}

/// Runs as a node until standard input ends.
pub fn run(path: &Path) {
    let settings = settings::open(path).expect("settings");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let node = node::spawn(settings).await.expect("node");
        println!("{}", node.caller_addr());
        std::io::stdout().flush().expect("output");
        let wait = tokio::task::spawn_blocking(|| std::io::stdin().read_line(&mut String::new()));
        // Either way the bench has ended.
        let _ = wait.await;
    });
    std::process::exit(0);
}

/// Node process; ends with its handle.
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

/// Starts a node among stand-ins.
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
        .arg(ARGUMENT)
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
    /// Address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Processor time so far.
    pub fn cpu_time(&self) -> Duration {
        let stat = self.read("stat");
        let (_, fields) = stat.rsplit_once(") ").expect("stat");
        let fields: Vec<&str> = fields.split(' ').collect();
        // Fields 14 and 15 of the whole line: user and system time.
        let ticks: f64 = fields[11..13].iter().map(|it| it.parse::<f64>().expect("ticks")).sum();
        Duration::from_secs_f64(ticks / TICKS_PER_S)
    }

    /// Resident memory.
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
