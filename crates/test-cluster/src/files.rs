//! Configuration files: an operator's text with placeholders.
use std::collections::BTreeMap;
use std::io;

/// Replaces each `@KEY@`; one that is not known is an error.
pub fn fill(text: &str, values: &BTreeMap<String, String>) -> io::Result<String> {
    let mut out = String::with_capacity(text.len());
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('@') {
        let Some((key, tail)) = after.split_once('@') else { break };
        let Some(value) = values.get(key) else {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, format!("nothing is known for @{key}@")));
        };
        out.push_str(before);
        out.push_str(value);
        rest = tail;
    }
    out.push_str(rest);
    Ok(out)
}
