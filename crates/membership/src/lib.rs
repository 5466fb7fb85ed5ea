//! Which fronts are there, after SWIM, with evidence about boxes and halls on the same messages.
//!
//! Free of I/O: datagrams, time and a seed in, datagrams and news out. Each member probes one other a period, in rounds of random
//! order; who does not answer is asked for through others, then suspected, and after a time that grows with the logarithm
//! of the number of members held dead. A member that hears of its own suspicion disproves it with a higher incarnation.
//! What a member holds of another is ordered by incarnation, then Alive, Suspect, Dead, Left; merging takes the higher, so
//! that the order in which news come does not matter.
//!
//! Three things go beyond the published protocol. Nobody is held dead on others' word: it only starts one's own suspicion.
//! Each message tells a digest of what its sender holds, and where two differ the free room of the next messages carries that part
//! of the members and claims. Dead members and silent seeds are contacted from time to time, so that halves of a split find
//! together again.
mod budget;
mod digest;
mod evidence;
mod gossip;
mod health;
mod machine;
mod names;
mod probe;
mod receive;
mod roster;
mod send;
mod settings;
mod table;
mod verdict;
pub mod wire;

pub use digest::Digest;
pub use machine::Members;
pub use names::{Action, Event, Figures, Kind, Member, Observation, Seed, Shun, State, Subject, Verdict};
pub use settings::{Fault, Settings};

#[cfg(test)]
mod bench;
#[cfg(test)]
mod lies_tests;
