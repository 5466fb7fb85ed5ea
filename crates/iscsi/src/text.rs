//! Keys and values of login and text PDUs (RFC 7143, section 6.1).

/// Parses the `key=value` pairs of a data segment; entries without `=` are skipped.
pub fn parse_pairs(data: &[u8]) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(data);
    let pairs = text.split('\0').filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

/// Appends a `key=value` pair.
pub fn append_pair(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(format!("{key}={value}\0").as_bytes());
}
