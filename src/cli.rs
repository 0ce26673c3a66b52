//! The command line. To add a command, add a variant to [`Command`], a module beside this one and an arm in
//! `main`.

use crate::check::CheckConfig;
use crate::members::Members;
use clap::{Parser, Subcommand};

/// Forwards requests to cache servers and routes around failing ones.
#[derive(Debug, Parser)]
#[command(name = "walkpick", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node with the configuration file named by LB_CONFIG; the default command
    Node,
    /// Check a configuration file and print what a node would do with it, or all of its faults
    CheckConfig(CheckConfig),
    /// Observe a cluster and print its members and whether their views agree
    Members(Members),
}
