//! Command line arguments: global options, accepted at any position, and the
//! arguments of each subcommand, one file each.

pub(crate) mod config;
pub(crate) mod digest;
pub(crate) mod dump;
pub(crate) mod explain;
pub(crate) mod global;
pub(crate) mod log;
pub(crate) mod node;
pub(crate) mod profile;
pub(crate) mod replica;
pub(crate) mod server;
pub(crate) mod service;
pub(crate) mod status;

use std::ffi::OsString;

/// Output of `citrongwctl --help`.
const HELP: &str = "\
Command line program for the operators of citrongw. Connects to any node.

USAGE:
    citrongwctl [OPTIONS] SUBCOMMAND ...

SUBCOMMANDS (each has a --help of its own):
    profile   list, show, create, edit, retire
    service   list, assign
    replica   list, show, drain
    server    leave, return
    node      list, stop
    config    history, diff, show, put
    status    what is not serving, since when, and what is done about it
    explain   request, replica, refusals
    dump      state of a node as JSON
    log       level of a node's logs
    digest    digest of a key or token read from standard input

OPTIONS:
    --node ADDR     operators' address of a node; several are tried in turn
    --token TOKEN   bearer token; the variable CITRONGW_TOKEN holds it otherwise
    --json          print JSON in place of tables
    --yes           don't ask before dangerous acts

EXIT CODES:
    0 done   1 failed   2 wrong arguments   3 conflict with another change
    4 committed, not yet in force everywhere   5 not allowed
    6 no node reached   7 not confirmed by the operator";

/// Exit code for invalid arguments.
const USAGE_EXIT_CODE: i32 = 2;

/// Parsed command line.
#[derive(Debug)]
pub(crate) struct Args {
    /// Global options.
    pub(crate) global: global::Global,
    /// Subcommand with its arguments.
    pub(crate) subcommand: Subcommand,
}

/// Subcommand with its arguments.
#[derive(Debug)]
pub(crate) enum Subcommand {
    /// `config`.
    Config(config::ConfigCmd),
    /// `digest`.
    Digest,
    /// `dump`.
    Dump,
    /// `explain`.
    Explain(explain::ExplainCmd),
    /// `log`.
    Log(log::Log),
    /// `node`.
    Node(node::NodeCmd),
    /// `profile`.
    Profile(profile::ProfileCmd),
    /// `replica`.
    Replica(replica::ReplicaCmd),
    /// `server`.
    Server(server::ServerCmd),
    /// `service`.
    Service(service::ServiceCmd),
    /// `status`.
    Status,
}

/// Parses the command line; prints the help or the error and exits if there is no
/// subcommand to run.
pub(crate) fn from_env_or_exit() -> Args {
    let (global, rest) = split(std::env::args_os().skip(1).collect());
    match parse(global, rest) {
        Ok(Some(args)) => args,
        Ok(None) => {
            println!("{HELP}");
            std::process::exit(0);
        }
        Err(error) if error.is_help() => {
            println!("{error}");
            std::process::exit(0);
        }
        Err(error) => {
            eprintln!("citrongwctl: {error}");
            std::process::exit(USAGE_EXIT_CODE);
        }
    }
}

/// Separates the global options from the other arguments.
fn split(args: Vec<OsString>) -> (Vec<OsString>, Vec<OsString>) {
    let (mut global, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        match arg.to_str() {
            Some("--json" | "--yes") => global.push(arg),
            Some("--node" | "--token") => {
                global.push(arg);
                global.extend(args.next());
            }
            _ => rest.push(arg),
        }
    }
    (global, rest)
}

/// Parses the separated arguments; `None` requests the help.
fn parse(global: Vec<OsString>, mut rest: Vec<OsString>) -> xflags::Result<Option<Args>> {
    if rest.is_empty() {
        return Ok(None);
    }
    let name = rest.remove(0).to_string_lossy().into_owned();
    let subcommand = match name.as_str() {
        "help" | "-h" | "--help" => return Ok(None),
        "config" => Subcommand::Config(config::Config::from_vec(rest)?.subcommand),
        "digest" => digest::Digest::from_vec(rest).map(|_| Subcommand::Digest)?,
        "dump" => dump::Dump::from_vec(rest).map(|_| Subcommand::Dump)?,
        "explain" => Subcommand::Explain(explain::Explain::from_vec(rest)?.subcommand),
        "log" => Subcommand::Log(log::Log::from_vec(rest)?),
        "node" => Subcommand::Node(node::Node::from_vec(rest)?.subcommand),
        "profile" => Subcommand::Profile(profile::Profile::from_vec(rest)?.subcommand),
        "replica" => Subcommand::Replica(replica::Replica::from_vec(rest)?.subcommand),
        "server" => Subcommand::Server(server::Server::from_vec(rest)?.subcommand),
        "service" => Subcommand::Service(service::Service::from_vec(rest)?.subcommand),
        "status" => status::Status::from_vec(rest).map(|_| Subcommand::Status)?,
        _ => return Err(xflags::Error::new(format!("unknown subcommand: {name}"))),
    };
    Ok(Some(Args { global: global::Global::from_vec(global)?, subcommand }))
}
