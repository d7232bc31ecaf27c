//! Validation errors of settings and inventories.

use std::fmt;

/// One validation error and the field that it is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The path of the field, such as `models[3].weights_mib`; empty for the whole document.
    pub field: String,
    /// The description of the error.
    pub message: String,
}

impl Problem {
    /// Creates a problem of one field.
    pub(crate) fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.field, self.message)
    }
}
