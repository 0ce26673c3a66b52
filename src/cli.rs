//! The command line. A further command is a variant of [`Command`], a file of its own beside this one, and an arm
//! in `main`.

use crate::check::CheckConfig;
use crate::members::Members;
use clap::{Parser, Subcommand};

/// Sends requests to cache servers, past those that fail.
#[derive(Debug, Parser)]
#[command(name = "walkpick", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node, as the configuration says that LB_CONFIG names; so does walkpick with no command
    Node,
    /// Tell what a node would do with a configuration, or everything that is wrong with it
    CheckConfig(CheckConfig),
    /// Look on at the nodes that have met, and tell who is present and whose views differ
    Members(Members),
}
