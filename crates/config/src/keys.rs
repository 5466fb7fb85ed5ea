//! Keys for message authentication, as configured in the sections `[accord]` and `[changes]`.
use crate::error::invalid;
use crate::ConfigError;

/// The size of a key, in bytes.
const KEY_BYTES: usize = 32;

/// A key.
pub type KeyBytes = [u8; KEY_BYTES];

/// Parses the keys of a section: the signing key, and the other accepted key, if any.
pub(crate) fn parse_keys(
    section_key: &str,
    texts: &[String],
) -> Result<(KeyBytes, Option<KeyBytes>), ConfigError> {
    if texts.is_empty() || texts.len() > 2 {
        return invalid(section_key, "must be one key, or two while one follows the other");
    }
    let mut keys = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        let key = format!("{section_key}[{index}]");
        let Some(bytes) = parse_hex(text) else {
            return invalid(key, "must be 64 hex digits");
        };
        if bytes.iter().all(|byte| *byte == bytes[0]) {
            return invalid(key, "is one byte over and over: draw it by chance (openssl rand -hex 32)");
        }
        keys.push(bytes);
    }
    if keys.len() == 2 && keys[0] == keys[1] {
        return invalid(format!("{section_key}[1]"), "is the same as the first");
    }
    Ok((keys[0], keys.get(1).copied()))
}

/// Parses a key's hex digits; `None` unless there are exactly as many as a key has.
fn parse_hex(text: &str) -> Option<KeyBytes> {
    let mut bytes = [0; KEY_BYTES];
    if text.len() != 2 * KEY_BYTES || !text.is_ascii() {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(bytes)
}
