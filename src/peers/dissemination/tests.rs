//! Tests of the core.
