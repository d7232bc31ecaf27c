//! Tests of decisions that need no network.

mod decisions;
mod pages;
mod planning;
mod spreading;
