//! Tests of API keys, without a network.

mod keys;
