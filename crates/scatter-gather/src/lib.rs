//! Answers that are gathered from parts, in time, and perhaps in part.
//!
//! A [`Policy`] says which parts make an answer, what suffices, and how long remote halls are waited for. A [`Gather`]
//! is one answer in the making; [`Gathers`] holds all that are open, with what they share: what is known of each hall
//! ([`Halls`]) and the bound on their memory ([`Budget`]). Free of I/O: events and time in, actions out.
//!
//! Each part is a request of its own in the module, which alone decides on repeats. A gather asks each part once.
//! Bookings never gather: [`Policy::check`] turns away each class that is not known to read only.
mod answer;
mod arrivals;
mod check;
mod ending;
mod gather;
mod hall;
mod halls;
mod latency;
mod memory;
mod open;
mod policy;
mod rules;
mod slot;
mod suffices;
mod words;

pub use answer::{Answer, Cause, Failure, Gathered, Missing, Why};
pub use check::{check_all, Class, Fault, MOST_GATHERS, MOST_PARTS};
pub use gather::{Action, Ended, Event, Gather, Shared};
pub use hall::Stage;
pub use halls::{HallNews, Halls, Kind, Observed, Outlook, MOST_HALLS};
pub use latency::Latencies;
pub use memory::{Budget, Held, Size};
pub use open::{Counters, Full, GatherId, Gathers};
pub use policy::{Needs, Otherwise, Part, Policy, Suffices};
pub use rules::Rules;
pub use words::{parse, Told, MOST_TEXT};
