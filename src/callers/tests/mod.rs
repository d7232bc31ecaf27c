//! Tests of who is known and what is allowed, without a network.

mod keys;
