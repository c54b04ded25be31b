//! Cases of the second review: `review-case NAME FOLDER WORK`.
//!
//! Starts the gateway and its stand-ins, plays a case, and writes the record to FOLDER.
//! WORK is a temporary folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run.

mod engine;
mod extra;
mod gateway;
mod http;
mod json;
mod kv;
mod piece;
mod record;
mod site;
mod truncated;

use std::{path::Path, time::Duration};

/// Time after which a case that hangs is given up.
const MAX_TIME: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, name, id, ip, store] = args.as_slice()
        && name == "engine"
    {
        std::process::exit(engine::run(id, ip, store));
    }
    let [_, name, folder, work] = args.as_slice() else { std::process::exit(2) };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        gateway::kill_all();
        std::process::exit(2);
    });
    let (folder, work) = (Path::new(folder), Path::new(work));
    let code = match name.as_str() {
        "extra" => extra::run(folder, work, is_troubled),
        "piece" => piece::run(folder, work, is_troubled),
        "truncated" => truncated::run(folder, work, is_troubled),
        _ => 2,
    };
    gateway::kill_all();
    std::process::exit(code);
}
