//! Tests of decisions that need no network.

mod planning;
