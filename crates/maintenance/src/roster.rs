//! The fronts that must report a drain.
use crate::command::{Effect, Presence};
use crate::desk::{Desk, Place};
use crate::limits;
use crate::why::Why;
use cluster_types::MemberId;
use serde::{Deserialize, Serialize};

/// How a front stands. Being silent or dead does not change it: what has not left may still send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seat {
    /// It serves, in that life.
    Present {
        /// The start of its process.
        life: u64,
    },
    /// It left by its own word, in that life.
    Left {
        /// The start of its process.
        life: u64,
    },
    /// An operator answered for it; it had this life.
    Excused {
        /// The start of its process.
        life: u64,
    },
}

impl Seat {
    fn life(&self) -> u64 {
        match self {
            Seat::Present { life } | Seat::Left { life } | Seat::Excused { life } => *life,
        }
    }
}

impl Desk {
    /// The fronts that serve, as far as any has said.
    pub fn present(&self) -> impl Iterator<Item = &MemberId> {
        self.roster.iter().filter(|(_, s)| matches!(s, Seat::Present { .. })).map(|(m, _)| m)
    }

    /// How a front stands.
    pub fn seat_of(&self, member: &MemberId) -> Option<Seat> {
        self.roster.get(member).copied()
    }

    pub(crate) fn seat(
        &mut self,
        by: &MemberId,
        member: &MemberId,
        presence: Presence,
        out: &mut Vec<Effect>,
    ) -> Result<(), Why> {
        if by != member {
            return Err(Why::NotItsWord);
        }
        let held = self.roster.get(member).copied();
        match presence {
            Presence::Present { life } => {
                // A word of an earlier life, or one from before it left, comes late.
                let late = match held {
                    Some(Seat::Left { life: left }) => life <= left,
                    Some(seat) => life < seat.life(),
                    None => false,
                };
                if late {
                    return Err(Why::Late);
                }
                if held.is_none() && self.roster.len() >= limits::FRONTS {
                    let gone = self.roster.iter().find(|(_, s)| !matches!(s, Seat::Present { .. }));
                    let gone = gone.map(|(m, _)| m.clone()).ok_or(Why::Full)?;
                    self.roster.remove(&gone);
                }
                // What it reported in an earlier life is no longer known to hold.
                if held != Some(Seat::Present { life }) {
                    for grant in self.grants.values_mut().filter(|g| g.free_ms.is_none()) {
                        grant.drained.remove(member);
                    }
                }
                self.roster.insert(member.clone(), Seat::Present { life });
            }
            Presence::Left => {
                let life = held.ok_or(Why::Unknown)?.life();
                self.roster.insert(member.clone(), Seat::Left { life });
                self.let_go(member, out);
            }
        }
        Ok(())
    }

    pub(crate) fn excuse(&mut self, member: &MemberId, out: &mut Vec<Effect>) -> Result<(), Why> {
        let Some(Seat::Present { life }) = self.seat_of(member) else { return Err(Why::NotPresent) };
        self.roster.insert(member.clone(), Seat::Excused { life });
        self.let_go(member, out);
        Ok(())
    }

    /// Nothing waits for that front any more, and its parts are others'.
    fn let_go(&mut self, member: &MemberId, out: &mut Vec<Effect>) {
        for place in self.places.values_mut() {
            if let Place::Returning(returning) = place {
                returning.leave(member);
            }
        }
        self.free(out);
    }
}
