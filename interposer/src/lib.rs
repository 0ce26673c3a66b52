//! Fault injection at the boundary of the C library, for tests. Loaded into a process with `LD_PRELOAD`, it interposes
//! a few functions: calls on IPv4 sockets fail, transfer fewer bytes than requested or are interrupted, and the wall
//! clock is stepped, as `INTERPOSER_RULES` says (see [`rules`]). Equal seeds (`INTERPOSER_SEED`) give equal random
//! draws, call by call.
//!
//! This is the only part of the project with `unsafe` code: the interposed functions need the signatures of C
//! functions.

mod calls;
mod draws;
mod real;
pub mod rules;
mod state;
