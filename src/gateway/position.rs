//! A position in the log, which remains comparable when the log is restored from an older copy.
//!
//! After a restore, the log assigns offsets again that VMs have already read in the lost history, and
//! its next era begins. A position therefore consists of the era and the offset, and is ordered by
//! the era first. VMs keep, compare and send positions as single integers with the era in the high
//! bits. In era 0 this integer is the offset, so a log without eras needs no other messages.

/// The bits of the integer form that hold the offset: at a million records per second, 40 bits
/// suffice for twelve days, and at a thousand for 34 years. The era has 24 bits. Fences are sent as
/// JSON numbers, which are exact below 2^53, that is up to era 8,191.
const OFFSET_BITS: u32 = 40;

/// The era of the log and an offset within its history.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Position {
    /// How often the log has been restored from a copy.
    pub(crate) era: u64,
    /// The offset in the history of this era.
    pub(crate) offset: u64,
}

impl Position {
    /// Splits the integer form.
    pub(crate) fn from_u64(encoded: u64) -> Self {
        Self {
            era: encoded >> OFFSET_BITS,
            offset: encoded & ((1 << OFFSET_BITS) - 1),
        }
    }

    /// Returns the integer form, which is ordered as positions are.
    pub(crate) fn to_u64(self) -> u64 {
        debug_assert!(self.offset >> OFFSET_BITS == 0, "offset too large");
        self.era << OFFSET_BITS | self.offset
    }
}
