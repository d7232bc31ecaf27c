//! The key by which a caller is known.

use secrecy::{ExposeSecret, SecretSlice};
use std::fmt;
use std::rc::Rc;
use subtle::ConstantTimeEq;

/// A caller's key, which cannot be printed or serialized.
#[derive(Clone)]
pub(crate) struct ApiKey(Rc<SecretSlice<u8>>);

impl ApiKey {
    /// A key of these bytes.
    pub(crate) fn new(bytes: &[u8]) -> Self {
        Self(Rc::new(SecretSlice::from(bytes.to_vec())))
    }

    /// The bytes, for a hash and a comparison.
    pub(super) fn bytes(&self) -> &[u8] {
        self.0.expose_secret()
    }

    /// Whether two keys are the same; takes equally long for all keys of a length.
    pub(super) fn is(&self, other: &Self) -> bool {
        self.bytes().ct_eq(other.bytes()).into()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
