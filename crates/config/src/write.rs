//! Makes an application's configuration.

/// The text of an operator's file for the application of that name.
pub fn application(name: &str) -> Result<String, crate::Fault> {
    let good = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > 64 || !name.chars().all(good) {
        return crate::fault("APP", "must be 1 to 64 of a-z, 0-9 and -");
    }
    Ok(include_str!("application.toml").replace("@APP@", name))
}
