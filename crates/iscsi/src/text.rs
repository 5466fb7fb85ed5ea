//! Keys and values, as login and text PDUs carry them.

/// The pairs of a data segment; what has no `=` is left out.
pub fn pairs(data: &[u8]) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(data);
    let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_string(), v.to_string()));
    text.split('\0').filter_map(pair).collect()
}

/// Appends a pair.
pub fn put(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(format!("{key}={value}\0").as_bytes());
}
