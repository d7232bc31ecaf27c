//! Tests of decisions that need no network.

mod decisions;
mod following;
mod pages;
mod passing;
mod planning;
mod quota_play;
mod quota_ways;
mod quotas;
mod speeds;
mod spreading;
mod swaps;
mod views;
mod waiting;
mod zones;
