//! The API key that identifies a caller.

use secrecy::{ExposeSecret, SecretSlice};
use std::fmt;
use std::rc::Rc;
use subtle::ConstantTimeEq;

/// An API key. Its bytes are left out of `Debug` output and cannot be serialized.
#[derive(Clone)]
pub(crate) struct ApiKey(Rc<SecretSlice<u8>>);

impl ApiKey {
    /// Creates a key from its bytes.
    pub(crate) fn new(bytes: &[u8]) -> Self {
        Self(Rc::new(SecretSlice::from(bytes.to_vec())))
    }

    /// Returns the bytes, for hashing, comparison and other VMs.
    pub(crate) fn bytes(&self) -> &[u8] {
        self.0.expose_secret()
    }

    /// Returns whether two keys are equal, in constant time for keys of the same length.
    pub(super) fn equals(&self, other: &Self) -> bool {
        self.bytes().ct_eq(other.bytes()).into()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
