//! How changes of configuration reach every front, free of I/O: events, time and randomness in, actions out.
//!
//! A few voters hold one ordered log of [`Order`]s. What it comes to is a [`Catalogue`]: of each key the newest value, with the
//! place in the log that it comes from. A [`Relay`] serves a catalogue to subscribers; relays without a vote follow a voter's
//! as [`Subscriber`]s themselves, and fronts are subscribers only. What a subscriber is sent depends on nothing but its scope
//! and the version that it holds, so nothing is queued for it: one that is slow gets later what is newest then.
//!
//! - A message is put in force whole or not at all, and never an older value over a newer one.
//! - A change costs a front work by its own size; memory follows the scope.
//! - [`Class::Primary`] goes ahead at once; [`Class::Configuration`] is gathered for [`Settings::batch`].
//! - Acknowledgements add up in [`Report`]s of bounded size: what is not in force yet, where, and why.
//!
//! Spans are [`std::time::Duration`]s, sizes are bytes.
#![deny(missing_docs)]

mod admission;
mod catalogue;
mod digest;
mod message;
mod names;
mod relay;
mod report;
mod scope;
mod settings;
pub mod stored;
mod subscriber;

pub use admission::Admission;
pub use catalogue::{Catalogue, Since};
pub use message::{FromRelay, Refusal, ToRelay};
pub use names::{proper, Change, Class, Fault, Key, Order, Put, Topic, NAME, ORDER, VALUE};
pub use relay::{Cut, Relay, RelayAction, RelayEvent, RelayFigures};
pub use report::{Fleet, Lag, Report, Where, WORST};
pub use scope::{Scope, TOPICS};
pub use settings::Settings;
pub use stored::StoredFault;
pub use subscriber::{Action, Event, Figures, Held, Subscriber};
