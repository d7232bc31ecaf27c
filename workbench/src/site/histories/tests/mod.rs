//! Tests of the histories.

mod model;
