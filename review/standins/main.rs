//! Stand-ins of clients, replicas and the platform, and the cases that use them:
//! `standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod engine;
mod foreign_entry;
mod gateway;
mod http;
mod json;
mod kv;
mod late_join;
mod leaving;
mod long_body;
mod record;
mod replica;

use std::{io, process::ExitCode};

use self::record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::open();
    let verdict = match case.as_str() {
        "long-body" => long_body::run(&record, has_trouble),
        "foreign-entry" => foreign_entry::run(&record, has_trouble),
        "late-join" => late_join::run(&record, has_trouble),
        "leaving" => leaving::run(&record, has_trouble),
        _ => Err(io::Error::other("unknown case")),
    };
    match &verdict {
        Ok(Verdict::Held) => record.add("the rule held"),
        Ok(Verdict::Broken) => record.add("the rule was broken"),
        Err(error) => record.add(&format!("the case could not run: {error}")),
    }
    if let Err(error) = record.write(path) {
        eprintln!("could not write the record: {error}");
        return ExitCode::from(2);
    }
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
