//! Stand-ins and cases of the second review. Each case starts a node as a process of its own and plays its
//! clients, cache servers and discovery on loopback addresses.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cache_server;
mod cases;
mod client;
mod discovery;
mod http;
mod node;
mod record;

use cases::{Case, Verdict};
use record::Record;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

const RULE_BROKEN: u8 = 1;
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok((verdict, record)) => {
            let (line, code) = match verdict {
                Verdict::Held(text) => (format!("the rule held: {text}"), ExitCode::SUCCESS),
                Verdict::Broken(text) => {
                    (format!("the rule was broken: {text}"), ExitCode::from(RULE_BROKEN))
                }
            };
            record.add(&line);
            println!("{line}");
            code
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

/// Runs the case that the command line names: its name, its folder, a temporary folder, the deploy file's
/// command for a node, and whether the disruption is played (0 if not).
fn run() -> io::Result<(Verdict, Record)> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, case_folder, temporary_folder, run, trouble] = arguments.as_slice() else {
        return Err(io::Error::other(
            "usage: stand-ins-2 CASE CASE_FOLDER TEMPORARY_FOLDER RUN_COMMAND TROUBLE",
        ));
    };
    let trouble = trouble != "0";
    let record = Record::create(&PathBuf::from(case_folder))?;
    record.add(format!("case {name}, with its disruption: {trouble}"));
    let case =
        Case { run: run.clone(), folder: PathBuf::from(temporary_folder), trouble, record: record.clone() };
    let verdict = match case.play(name) {
        Ok(verdict) => verdict,
        Err(error) => {
            record.add(format!("the case could not run: {error}"));
            return Err(error);
        }
    };
    Ok((verdict, record))
}
