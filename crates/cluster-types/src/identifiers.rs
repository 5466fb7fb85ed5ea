//! String identifiers. They are cheap to clone, and are stored and sent as plain strings.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! identifier {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(pub Arc<str>);

        impl From<&str> for $type {
            fn from(name: &str) -> Self {
                $type(name.into())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

identifier!(
    /// A gateway, by its configured name.
    MemberId
);
identifier!(
    /// A backend, by the `instanceId` that service discovery reports.
    BackendId
);
identifier!(
    /// A zone, as service discovery reports it.
    Zone
);
identifier!(
    /// A volume, by its 16 hexadecimal digits.
    Volume
);
