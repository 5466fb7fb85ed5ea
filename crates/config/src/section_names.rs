//! Support for section types whose name in error messages differs from their name in the code.
//!
//! Serde's messages contain the type of a section ("expected struct Accord"). Operators search for these texts, so they must not
//! change with a type's name. The attribute `remote` sets the name in messages. It derives an inherent function instead of the
//! trait implementation, which the macro adds.

/// Implements [`serde::Deserialize`] with the function that `#[serde(remote = "...")]` derives.
macro_rules! impl_deserialize {
    ($type:ty) => {
        impl<'de> serde::Deserialize<'de> for $type {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                // Calls the derived inherent function, which takes precedence over this trait method.
                <$type>::deserialize(deserializer)
            }
        }
    };
}
pub(crate) use impl_deserialize;
