//! Configuration files with placeholders.
use std::collections::BTreeMap;
use std::io;

/// Replaces each `@KEY@` by its value; an unknown key is an error.
pub fn render(text: &str, values: &BTreeMap<String, String>) -> io::Result<String> {
    let mut out = String::with_capacity(text.len());
    let mut remaining = text;
    while let Some((before, after)) = remaining.split_once('@') {
        let Some((key, tail)) = after.split_once('@') else { break };
        let Some(value) = values.get(key) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("no value for the placeholder @{key}@"),
            ));
        };
        out.push_str(before);
        out.push_str(value);
        remaining = tail;
    }
    out.push_str(remaining);
    Ok(out)
}
