//! Types whose error texts state another name than their own.
//!
//! Serde's messages state the type of a section ("expected struct Accord"). Operators search for these texts, so they stay, while
//! the types have the names of the code. The attribute `remote` sets the name; it derives an inherent function in place of the
//! trait, which the macro then implements by it.

/// Implements [`serde::Deserialize`] by the function that `#[serde(remote = "...")]` derives.
macro_rules! impl_deserialize {
    ($type:ty) => {
        impl<'de> serde::Deserialize<'de> for $type {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                // The derived inherent function, which takes precedence over this one.
                <$type>::deserialize(deserializer)
            }
        }
    };
}
pub(crate) use impl_deserialize;
