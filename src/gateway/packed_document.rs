//! Packs the text of a configuration for a transfer between VMs.
//!
//! The text is compressed, and where the receiver has an earlier text, only the difference to it is
//! sent: a VM's link may take a second for a large configuration, and most changes of it are small.

use std::io::{self, Read, Write};

/// Compression level. Higher ones cost a small VM more time than they save on its link.
const LEVEL: i32 = 3;
/// The smallest and the largest window in which repetitions are found, as powers of two of bytes.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 27;

/// Packs a text, as a difference to `base` if that is not empty.
pub(super) fn pack(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    encoder.window_log(window_log(text.len() + base.len()))?;
    // Finds the same part in a large base wherever it stands.
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.include_checksum(true)?;
    encoder.write_all(text)?;
    encoder.finish()
}

/// Unpacks a text that was packed as a difference to `base`.
///
/// # Errors
///
/// Fails if the data is damaged or belongs to another base, or if the text is longer than
/// `limit_bytes`.
pub(super) fn unpack(packed: &[u8], base: &[u8], limit_bytes: usize) -> io::Result<Vec<u8>> {
    let mut decoder = zstd::Decoder::with_ref_prefix(packed, base)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut text = Vec::new();
    let limit = limit_bytes as u64 + 1;
    decoder.take(limit).read_to_end(&mut text)?;
    if text.len() > limit_bytes {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(text)
}

/// The logarithm of a window that covers this many bytes.
fn window_log(bytes: usize) -> u32 {
    let log = usize::BITS - bytes.leading_zeros();
    log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}
