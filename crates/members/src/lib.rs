//! Membership after SWIM, with evidence about boxes and halls.
